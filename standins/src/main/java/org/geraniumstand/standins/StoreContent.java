package org.geraniumstand.standins;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Stores the keys, values and sessions of the key-value store in memory; thread-safe. */
final class StoreContent {
    private static final long EXPIRY_CHECK_MILLIS = 100;

    private final Object lock = new Object();
    private final NavigableMap<String, Value> values = new TreeMap<>();
    private final NavigableMap<String, Long> deletionIndexes = new TreeMap<>();
    private final Map<String, Session> sessions = new HashMap<>();
    private Optional<NavigableMap<String, Value>> frozenValues = Optional.empty();
    private long index = 1;
    private long sessionCount;

    record Value(String text, String session, long lockIndex, long createIndex, long modifyIndex) {}

    record Pair(String key, Value value) {}

    record Snapshot(List<Pair> pairs, long index) {}

    private record Session(long ttlMillis, boolean deleteKeys, long expiryNanos) {}

    boolean put(String key, String text, Optional<Long> cas) {
        synchronized (lock) {
            expireSessions();
            long currentIndex = modifyIndexOf(key);
            if (cas.isPresent() && cas.get() != currentIndex) {
                return false;
            }
            Value old = values.get(key);
            write(key, text, old == null ? null : old.session(), old == null ? 0 : old.lockIndex());
            return true;
        }
    }

    boolean acquire(String key, String text, String session) {
        synchronized (lock) {
            expireSessions();
            Value old = values.get(key);
            boolean acquirable =
                    old == null || old.session() == null || old.session().equals(session);
            if (!acquirable || !sessions.containsKey(session)) {
                return false;
            }
            long lockIndex = old == null ? 0 : old.lockIndex();
            boolean held = old != null && session.equals(old.session());
            write(key, text, session, held ? lockIndex : lockIndex + 1);
            return true;
        }
    }

    boolean release(String key, String text, String session) {
        synchronized (lock) {
            expireSessions();
            Value old = values.get(key);
            if (old == null || !session.equals(old.session())) {
                return false;
            }
            write(key, text, null, old.lockIndex());
            return true;
        }
    }

    boolean delete(String key, boolean recurse, Optional<Long> cas) {
        synchronized (lock) {
            expireSessions();
            if (cas.isPresent() && cas.get() != modifyIndexOf(key)) {
                return false;
            }
            read(values, key, recurse).forEach(pair -> remove(pair.key()));
            return true;
        }
    }

    String openSession(long ttlMillis, boolean deleteKeys) {
        synchronized (lock) {
            sessionCount++;
            String id = "session-" + sessionCount;
            sessions.put(id, new Session(ttlMillis, deleteKeys, expiryNanos(ttlMillis)));
            return id;
        }
    }

    boolean renewSession(String id) {
        synchronized (lock) {
            expireSessions();
            return sessions.computeIfPresent(
                            id, (_id, s) -> new Session(s.ttlMillis(), s.deleteKeys(), expiryNanos(s.ttlMillis())))
                    != null;
        }
    }

    boolean isSessionOpen(String id) {
        synchronized (lock) {
            expireSessions();
            return sessions.containsKey(id);
        }
    }

    void closeSession(String id) {
        synchronized (lock) {
            Session session = sessions.remove(id);
            if (session == null) {
                return;
            }
            for (Pair pair : read(values, "", true)) {
                if (id.equals(pair.value().session())) {
                    releaseHeldKey(pair, session.deleteKeys());
                }
            }
        }
    }

    void freezeWatches(boolean freeze) {
        synchronized (lock) {
            frozenValues = freeze ? Optional.of(frozenValues.orElseGet(() -> new TreeMap<>(values))) : Optional.empty();
            lock.notifyAll();
        }
    }

    List<Pair> read(String key, boolean recurse) {
        return snapshot(key, recurse).pairs();
    }

    Snapshot snapshot(String key, boolean recurse) {
        synchronized (lock) {
            expireSessions();
            return new Snapshot(read(values, key, recurse), index);
        }
    }

    /** Waits until the key, or a key with the prefix, changes after an index, or until the time has elapsed. */
    Snapshot await(String key, boolean recurse, long afterIndex, long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (lock) {
            expireSessions();
            long remainingMillis = millis;
            while (remainingMillis > 0 && (frozenValues.isPresent() || lastChange(key, recurse) <= afterIndex)) {
                lock.wait(Math.min(remainingMillis, EXPIRY_CHECK_MILLIS));
                expireSessions();
                remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            }
            boolean frozen = frozenValues.isPresent();
            return new Snapshot(read(frozenValues.orElse(values), key, recurse), frozen ? afterIndex : index);
        }
    }

    private void releaseHeldKey(Pair pair, boolean deleteKeys) {
        if (deleteKeys) {
            remove(pair.key());
        } else {
            write(pair.key(), pair.value().text(), null, pair.value().lockIndex());
        }
    }

    private void write(String key, String text, String session, long lockIndex) {
        index++;
        Value old = values.get(key);
        values.put(key, new Value(text, session, lockIndex, old == null ? index : old.createIndex(), index));
        lock.notifyAll();
    }

    private void remove(String key) {
        index++;
        values.remove(key);
        deletionIndexes.put(key, index);
        lock.notifyAll();
    }

    private long modifyIndexOf(String key) {
        Value old = values.get(key);
        return old == null ? 0 : old.modifyIndex();
    }

    private long lastChange(String key, boolean recurse) {
        long written = read(values, key, recurse).stream()
                .mapToLong(pair -> pair.value().modifyIndex())
                .max()
                .orElse(0);
        long deleted = deletionIndexes.tailMap(key, true).entrySet().stream()
                .takeWhile(e -> e.getKey().startsWith(key))
                .filter(e -> recurse || e.getKey().equals(key))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
        return Math.max(written, deleted);
    }

    private void expireSessions() {
        long nowNanos = System.nanoTime();
        List<String> expired = sessions.entrySet().stream()
                .filter(e -> e.getValue().ttlMillis() > 0 && e.getValue().expiryNanos() - nowNanos < 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::closeSession);
    }

    private static long expiryNanos(long ttlMillis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMillis);
    }

    private static List<Pair> read(NavigableMap<String, Value> source, String key, boolean recurse) {
        return source.tailMap(key, true).entrySet().stream()
                .takeWhile(e -> e.getKey().startsWith(key))
                .filter(e -> recurse || e.getKey().equals(key))
                .map(e -> new Pair(e.getKey(), e.getValue()))
                .toList();
    }
}
