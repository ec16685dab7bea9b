package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.FactReader;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.log.Log;

/** Follows what others write to the store: reads it whole, then waits for changes, and starts over when it must. */
final class StoreFollower {
    private static final Log LOG = Log.of(StoreFollower.class);

    /** Milliseconds that a call waits for changes; a connection that went silent is noticed after this. */
    private static final long WATCH_MILLIS = 4_000;

    /** Milliseconds between a change and the next call, so that changes that come together cost one call. */
    private static final long GATHER_MILLIS = 40;

    /** First and longest pause after a failed call; entries must be back in use within seconds of the store's return. */
    private static final long FIRST_PAUSE_MILLIS = 100;

    private static final long LONGEST_PAUSE_MILLIS = 800;

    /**
     * Milliseconds for which a server stays in use whose entry vanished around an outage of the store; live servers
     * write theirs again within about 2,000, and a leaving one serves for as long.
     */
    private static final long MISSING_MILLIS = 1_800;

    /** Milliseconds after a failed call in which a vanished entry may be due to the outage. */
    private static final long OUTAGE_MILLIS = 4_000;

    private final RevisionStore store;
    private final FactReader reader;
    private final Timer timer;
    private final Listener listener;
    private final Consumer<String> onOwnKeyRemoved;
    private final Map<String, StoreFact> known = new TreeMap<>();
    private final Map<ServerId, Missing> missing = new HashMap<>();
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean out;
    private boolean failed;
    private long failedNanos;

    /** The last entry of a server that vanished, and when it did, on the monotonic clock in nanoseconds. */
    private record Missing(StoreFact fact, long sinceNanos) {}

    /** Told what the store says; all calls come on one thread. */
    interface Listener {
        /** An entry is there or changed. */
        void onFact(StoreFact fact);

        /** An entry was removed. */
        void onRemoved(StoreFact.Removed removed);

        /** All entries were read; nothing else stands in the store. */
        void onWhole(List<StoreFact> facts);
    }

    StoreFollower(
            RevisionStore store, FactReader reader, Timer timer, Listener listener, Consumer<String> onOwnKeyRemoved) {
        this.onOwnKeyRemoved = onOwnKeyRemoved;
        this.store = store;
        this.reader = reader;
        this.timer = timer;
        this.listener = listener;
    }

    void start() {
        readAll(new ArrayList<>(reader.prefixes()), new ArrayList<>(), Long.MAX_VALUE);
    }

    private void readAll(List<String> prefixes, List<Item> items, long revision) {
        if (prefixes.isEmpty()) {
            takeAll(items);
            watch(revision);
            return;
        }
        String prefix = prefixes.remove(0);
        store.list(prefix, orRestart(listing -> {
            items.addAll(listing.items());
            readAll(prefixes, items, Math.min(revision, listing.revision()));
        }));
    }

    private void takeAll(List<Item> items) {
        Set<String> keys = new HashSet<>();
        List<StoreFact> facts = new ArrayList<>();
        for (Item item : items) {
            keys.add(item.key());
            StoreFact fact = read(item.key(), item.value());
            facts.add(fact);
            known.put(item.key(), fact);
        }
        for (String key : List.copyOf(known.keySet())) {
            if (!keys.contains(key)) {
                remove(key);
            }
        }
        // A server that is only missing for now stays among the listed ones.
        missing.values().forEach(server -> facts.add(server.fact()));
        LOG.info("store-read", Field.of("entries", items.size()), Field.of("missing", missing.size()));
        listener.onWhole(facts);
    }

    private void watch(long since) {
        store.watch("", since, WATCH_MILLIS, result -> {
            if (result instanceof Result.Ok<RevisionStore.Changes, StoreError> ok) {
                answered();
                ok.held().changes().forEach(this::take);
                long next = Math.max(since, ok.held().revision());
                timer.after(() -> watch(next), ok.held().changes().isEmpty() ? 0 : GATHER_MILLIS);
            } else {
                onError(result.error().orElse(StoreError.MALFORMED), () -> watch(since));
            }
        });
    }

    private void take(Change change) {
        if (reader.prefixes().stream().noneMatch(change.key()::startsWith)) {
            if (change.value().isEmpty()) {
                onOwnKeyRemoved.accept(change.key());
            }
            return;
        }
        if (change.value().isEmpty()) {
            remove(change.key());
            return;
        }
        StoreFact fact = read(change.key(), change.value().get());
        known.put(change.key(), fact);
        if (fact instanceof StoreFact.Listed listed) {
            missing.remove(listed.server().id());
        }
        listener.onFact(fact);
    }

    private void remove(String key) {
        StoreFact before = known.remove(key);
        StoreFact.Removed removed = reader.removed(key);
        boolean outage = failed && System.nanoTime() - failedNanos < OUTAGE_MILLIS * Moment.NANOS_PER_MILLI;
        if (removed instanceof StoreFact.Removed.Server server
                && outage
                && before instanceof StoreFact.Listed listed
                && !listed.server().leaving()) {
            Missing vanished = new Missing(before, System.nanoTime());
            missing.put(server.server(), vanished);
            LOG.info("server-missing", Field.of("server", server.server()));
            timer.after(() -> giveUp(server, vanished), MISSING_MILLIS);
            return;
        }
        listener.onRemoved(removed);
    }

    private void giveUp(StoreFact.Removed.Server server, Missing vanished) {
        if (missing.remove(server.server(), vanished)) {
            listener.onRemoved(server);
        }
    }

    private StoreFact read(String key, String value) {
        StoreFact fact = reader.read(key, value);
        if (fact instanceof StoreFact.Unreadable unreadable) {
            LOG.warn("entry-unreadable", Field.of("entry", key), Field.of("reason", unreadable.reason()));
        } else if (fact instanceof StoreFact.UnreadableServer unreadable) {
            LOG.warn("entry-unreadable", Field.of("entry", key), Field.of("reason", unreadable.reason()));
        }
        return fact;
    }

    private <T> Consumer<Result<T, StoreError>> orRestart(Consumer<T> onValue) {
        return result -> {
            if (result instanceof Result.Ok<T, StoreError> ok) {
                answered();
                onValue.accept(ok.held());
            } else {
                onError(result.error().orElse(StoreError.MALFORMED), this::start);
            }
        };
    }

    private void onError(StoreError error, Runnable again) {
        if (error == StoreError.HISTORY_GONE) {
            LOG.info("store-history-gone");
            start();
            return;
        }
        failed = true;
        failedNanos = System.nanoTime();
        if (!out) {
            out = true;
            LOG.warn("store-lost", Field.of("error", error));
        }
        long pause = pauseMillis;
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        timer.after(again, pause);
    }

    private void answered() {
        pauseMillis = FIRST_PAUSE_MILLIS;
        if (out) {
            out = false;
            LOG.info("store-regained");
        }
    }
}
