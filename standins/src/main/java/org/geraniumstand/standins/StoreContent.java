package org.geraniumstand.standins;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Keys, values and sessions of the store; thread-safe. */
final class StoreContent {
    private static final long SWEEP_MILLIS = 100;

    private final Object lock = new Object();
    private final NavigableMap<String, Value> values = new TreeMap<>();
    private final NavigableMap<String, Long> deletions = new TreeMap<>();
    private final Map<String, Session> sessions = new HashMap<>();
    private Optional<NavigableMap<String, Value>> frozen = Optional.empty();
    private long index = 1;
    private long sessionCount;

    record Value(String text, String session, long lockIndex, long createIndex, long modifyIndex) {}

    record Pair(String key, Value value) {}

    record Snapshot(List<Pair> pairs, long index) {}

    private record Session(long ttlMillis, boolean delete, long endNanos) {}

    boolean put(String key, String text, Optional<Long> cas) {
        synchronized (lock) {
            sweep();
            long current = indexOf(key);
            if (cas.isPresent() && cas.get() != current) {
                return false;
            }
            Value old = values.get(key);
            write(key, text, old == null ? null : old.session(), old == null ? 0 : old.lockIndex());
            return true;
        }
    }

    boolean acquire(String key, String text, String session) {
        synchronized (lock) {
            sweep();
            Value old = values.get(key);
            boolean free = old == null || old.session() == null || old.session().equals(session);
            if (!free || !sessions.containsKey(session)) {
                return false;
            }
            long locks = old == null ? 0 : old.lockIndex();
            boolean held = old != null && session.equals(old.session());
            write(key, text, session, held ? locks : locks + 1);
            return true;
        }
    }

    boolean release(String key, String text, String session) {
        synchronized (lock) {
            sweep();
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
            sweep();
            if (cas.isPresent() && cas.get() != indexOf(key)) {
                return false;
            }
            read(values, key, recurse).forEach(pair -> remove(pair.key()));
            return true;
        }
    }

    String openSession(long ttlMillis, boolean delete) {
        synchronized (lock) {
            sessionCount++;
            String id = "session-" + sessionCount;
            sessions.put(id, new Session(ttlMillis, delete, end(ttlMillis)));
            return id;
        }
    }

    boolean renewSession(String id) {
        synchronized (lock) {
            sweep();
            return sessions.computeIfPresent(id, (_id, s) -> new Session(s.ttlMillis(), s.delete(), end(s.ttlMillis())))
                    != null;
        }
    }

    boolean sessionLives(String id) {
        synchronized (lock) {
            sweep();
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
                    endHold(pair, session.delete());
                }
            }
        }
    }

    void freezeWatches(boolean freeze) {
        synchronized (lock) {
            frozen = freeze ? Optional.of(frozen.orElseGet(() -> new TreeMap<>(values))) : Optional.empty();
            lock.notifyAll();
        }
    }

    List<Pair> read(String key, boolean recurse) {
        return snapshot(key, recurse).pairs();
    }

    Snapshot snapshot(String key, boolean recurse) {
        synchronized (lock) {
            sweep();
            return new Snapshot(read(values, key, recurse), index);
        }
    }

    /** Waits until something with the key or prefix changed after an index, or the time is up. */
    Snapshot await(String key, boolean recurse, long known, long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (lock) {
            sweep();
            long left = millis;
            while (left > 0 && (frozen.isPresent() || lastChange(key, recurse) <= known)) {
                lock.wait(Math.min(left, SWEEP_MILLIS));
                sweep();
                left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            }
            boolean stale = frozen.isPresent();
            return new Snapshot(read(frozen.orElse(values), key, recurse), stale ? known : index);
        }
    }

    private void endHold(Pair pair, boolean delete) {
        if (delete) {
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
        deletions.put(key, index);
        lock.notifyAll();
    }

    private long indexOf(String key) {
        Value old = values.get(key);
        return old == null ? 0 : old.modifyIndex();
    }

    private long lastChange(String key, boolean recurse) {
        long written = read(values, key, recurse).stream()
                .mapToLong(pair -> pair.value().modifyIndex())
                .max()
                .orElse(0);
        long deleted = deletions.tailMap(key, true).entrySet().stream()
                .takeWhile(e -> e.getKey().startsWith(key))
                .filter(e -> recurse || e.getKey().equals(key))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
        return Math.max(written, deleted);
    }

    private void sweep() {
        long now = System.nanoTime();
        List<String> lapsed = sessions.entrySet().stream()
                .filter(e -> e.getValue().ttlMillis() > 0 && e.getValue().endNanos() - now < 0)
                .map(Map.Entry::getKey)
                .toList();
        lapsed.forEach(this::closeSession);
    }

    private static long end(long ttlMillis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMillis);
    }

    private static List<Pair> read(NavigableMap<String, Value> from, String key, boolean recurse) {
        return from.tailMap(key, true).entrySet().stream()
                .takeWhile(e -> e.getKey().startsWith(key))
                .filter(e -> recurse || e.getKey().equals(key))
                .map(e -> new Pair(e.getKey(), e.getValue()))
                .toList();
    }
}
