package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.relay.BroadcastLimit;
import org.geraniumstand.decisions.relay.EntryChange;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.decisions.relay.StoreReadPolicy;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.EntryReader;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.task.StepGuard;

/**
 * Keeps the entries of the store up to date: reads a snapshot, then applies changes, and reads a new snapshot after a gap.
 *
 * <p>Changes come from a watch on the store or from peers. In larger deployments only two processes, the store readers, watch
 * the store, and they forward the changes to all others.
 *
 * <p>When the store was restored from a backup, all entries are read again: revisions that this process has reached may have
 * been assigned again.
 */
final class StoreWatcher {
    private static final Log LOG = Log.of(StoreWatcher.class);

    /**
     * Delay between a change and the next watch, in milliseconds, so that changes close together need one call: each server
     * writes its entry about once a second, and changes must reach all processes within 2,000 ms.
     */
    private static final long BATCH_MILLIS = 200;

    /** Interval between checks whether peers still forward changes, in milliseconds. */
    private static final long CHECK_MILLIS = 100;

    /** Time without changes after which an empty update is forwarded to peers, in milliseconds. */
    private static final long IDLE_FORWARD_MILLIS = 300;

    private final RevisionStore store;
    private final EntryReader reader;
    private final Timer timer;
    private final LongSupplier clock;
    private final Listener listener;
    private final String watchedKey;
    private final Consumer<Boolean> onWatchedKey;
    private final StoreReadPolicy readPolicy;
    private final Map<String, EntryChange.Observed> appliedEntries = new TreeMap<>();

    /** Entries that this process read from the store itself while it is a store reader, without those received from peers. */
    private final Map<String, EntryChange.Observed> ownEntries = new HashMap<>();

    private final StepGuard guard = new StepGuard("store-watch");
    private final StoreReachability reachability;
    private final MissingServers missingServers;
    private final RestoredEntries restoredEntries;

    private Consumer<PeerMessage.StoreUpdate> changeForwarder = _update -> {};

    /** Revision up to which all changes were applied. */
    private StoreRevision revision = StoreRevision.NONE;

    /** Revision up to which this process read all changes from the store itself; changes from peers do not count. */
    private StoreRevision ownRevision = StoreRevision.NONE;

    private boolean initialized;
    private int peerCount;

    /** Counts the starts of this watcher; answers and delays of an earlier start have no effect. */
    private long starts;

    private StoreRevision forwardedRevision = StoreRevision.NONE;
    private long forwardedNanos;

    /** Updates of peers that were ignored since the last read of all entries, as they were of another era. */
    private long ignoredUpdates;

    /** Origin of a change. */
    private enum Source {
        STORE,
        PEER
    }

    /** Receives the entries of the store; all calls are made on one thread. */
    interface Listener {
        /** Called when an entry was added or changed. */
        void onEntry(StoreEntry entry);

        /** Called when an entry was removed, after a grace period if it may have expired because of a store outage. */
        void onRemoved(StoreEntry.Removed removed, long retainedMillis);

        /** Called with a snapshot of all entries; entries that it does not contain are no longer in the store. */
        void onSnapshot(List<StoreEntry> snapshot);

        /** Called when all changes of the store up to now have been applied. */
        void onUpToDate();
    }

    /**
     * Creates a watcher that is not started yet.
     *
     * @param store the key-value store to watch
     * @param reader the parser of the entries
     * @param timer the timer that schedules calls and checks
     * @param clock the clock, which returns the monotonic time in nanoseconds
     * @param bounds the time limits for acting on changes and for recovery
     * @param listener the listener for entries and removals
     * @param watchedKey a further key to report, which is written by entry processes
     * @param onWatchedKey the callback for changes of that key, with whether the key is present
     */
    StoreWatcher(
            RevisionStore store,
            EntryReader reader,
            Timer timer,
            LongSupplier clock,
            StoreBounds bounds,
            Listener listener,
            String watchedKey,
            Consumer<Boolean> onWatchedKey) {
        this.watchedKey = watchedKey;
        this.onWatchedKey = onWatchedKey;
        this.store = store;
        this.reader = reader;
        this.timer = timer;
        this.clock = clock;
        this.forwardedNanos = clock.getAsLong();
        this.readPolicy = new StoreReadPolicy(bounds);
        this.reachability = new StoreReachability(bounds, clock);
        this.missingServers = new MissingServers(timer, clock, reachability::gracePeriodMillis, listener::onRemoved);
        this.listener = listener;
        this.restoredEntries = new RestoredEntries(timer, clock, reachability::unwritableMillis, new LateEntries());
        store.era().onRestored(this::onRestored);
    }

    void start() {
        starts++;
        readAll(new ArrayList<>(reader.prefixes()), new ArrayList<>(), Optional.empty());
    }

    private void onRestored(long era) {
        LOG.info("store-restored", Field.of("era", era), Field.of("revision", revision));
        reachability.onRestored();
        restoredEntries.onRestored();
        restartOnFailure("restored", this::start);
    }

    /** Returns a step that does nothing once this watcher has been started again. */
    private Runnable unlessRestarted(Runnable step) {
        long current = starts;
        return () -> {
            if (current == starts) {
                step.run();
            }
        };
    }

    /** Returns a callback that does nothing once this watcher has been started again. */
    private <T> Consumer<T> unlessRestarted(Consumer<T> callback) {
        long current = starts;
        return value -> {
            if (current == starts) {
                callback.accept(value);
            }
        };
    }

    private void schedule(Runnable step, long delayMillis) {
        timer.after(unlessRestarted(step), delayMillis);
    }

    /** Returns the number of listeners and own steps that threw an exception. */
    long failures() {
        return guard.failures();
    }

    /** Sets the function that sends changes to peers while this process is a store reader. */
    void setChangeForwarder(Consumer<PeerMessage.StoreUpdate> next) {
        changeForwarder = next;
    }

    /** Sets whether this process is a store reader, and the number of peers to which it forwards changes. */
    void setReader(boolean isReader, int newPeerCount) {
        peerCount = newPeerCount;
        if (isReader && !readPolicy.reader()) {
            ownRevision = revision;
            forwardedRevision = revision;
            ownEntries.clear();
        }
        readPolicy.onReader(isReader);
    }

    /** Applies changes that a peer forwarded, or schedules a read from the store if there is a gap before them. */
    void onPeerChanges(PeerMessage.StoreUpdate update) {
        long now = clock.getAsLong();
        store.era().onReported(update.throughRevision().era());
        if (!initialized) {
            return;
        }
        if (update.throughRevision().era() < revision.era()) {
            ignore(update);
            return;
        }
        reachability.onPeerContact();
        if (update.throughRevision().era() > revision.era()) {
            // The read of all entries is pending, and the store may reject the calls of this process for long.
            applyNewer(update.changes(), Source.PEER);
            return;
        }
        boolean gap = update.throughRevision().isAfter(revision)
                && (update.afterRevision().isAfter(revision) || update.incomplete());
        if (gap) {
            readPolicy.onMissed(update.throughRevision());
            return;
        }
        readPolicy.onForwarded(now);
        applyNewer(update.changes(), Source.PEER);
        markUpToDate();
        revision = StoreRevision.max(revision, update.throughRevision());
    }

    /**
     * Ignores an update of an earlier era or of a peer that states no era. Only the first one is logged, as late messages may be
     * many.
     */
    private void ignore(PeerMessage.StoreUpdate update) {
        if (ignoredUpdates == 0) {
            LOG.info(
                    "store-update-ignored",
                    Field.of("through", update.throughRevision()),
                    Field.of("revision", revision));
        }
        ignoredUpdates++;
    }

    private void readAll(List<String> prefixes, List<Item> items, Optional<StoreRevision> earliest) {
        if (prefixes.isEmpty()) {
            StoreRevision snapshotRevision = earliest.orElse(StoreRevision.NONE);
            revision = snapshotRevision;
            initialized = true;
            // The changes up to this revision were not read one by one, so they are not forwarded; peers read them from
            // the store.
            ownRevision = snapshotRevision;
            forwardedRevision = snapshotRevision;
            applySnapshot(items);
            readPolicy.onFullRead();
            markUpToDate();
            watch();
            return;
        }
        String prefix = prefixes.remove(0);
        reachability.onCall(0);
        store.list(prefix, orRestart(listing -> {
            items.addAll(listing.items());
            readAll(prefixes, items, Optional.of(earliest.orElseGet(listing::revision)));
        }));
    }

    private void applySnapshot(List<Item> items) {
        Set<String> keys = new HashSet<>();
        List<StoreEntry> snapshot = new ArrayList<>();
        ownEntries.clear();
        restoredEntries.onFullRead();
        for (Item item : items) {
            keys.add(item.key());
            guard.run("read", item.key(), () -> {
                EntryChange.Observed observed = observe(read(item.key(), item.value()));
                EntryChange.Observed known = appliedEntries.get(item.key());
                if (restoredEntries.holdBack(item.key(), known, observed)) {
                    snapshot.add(known.entry());
                    return;
                }
                if (known == null
                        && !isRetained(observed.entry())
                        && restoredEntries.holdBackRemoved(item.key(), observed)) {
                    return;
                }
                restoredEntries.onWritten(item.key());
                endRetention(observed.entry());
                snapshot.add(observed.entry());
                appliedEntries.put(item.key(), observed);
                ownEntries.put(item.key(), observed);
            });
        }
        for (String key : List.copyOf(appliedEntries.keySet())) {
            if (!keys.contains(key)) {
                guard.run("remove", key, () -> removeMissing(key));
            }
        }
        // Servers in their grace period stay listed.
        snapshot.addAll(missingServers.entries());
        snapshot.addAll(restoredEntries.retained());
        LOG.info(
                "store-read",
                Field.of("entries", items.size()),
                Field.of("missing", snapshot.size() - items.size()),
                Field.of("revision", revision),
                Field.of("ignoredUpdates", ignoredUpdates));
        ignoredUpdates = 0;
        guard.run("snapshot", items.size(), () -> listener.onSnapshot(snapshot));
    }

    /** Removes an entry that was missing when all entries were read, unless it is an order that may be written again. */
    private void removeMissing(String key) {
        if (restoredEntries.retain(key, appliedEntries.get(key).entry())) {
            appliedEntries.remove(key);
        } else {
            remove(key, revision, Source.STORE);
        }
    }

    /** Applies what was not written again in time after a restoration of the store. */
    private final class LateEntries implements RestoredEntries.Listener {
        @Override
        public void onStillListed(String key, EntryChange.Observed entry) {
            guard.run("listed", key, () -> applyIfChanged(key, entry));
        }

        @Override
        public void onStillMissing(String key) {
            guard.run("missing", key, () -> listener.onRemoved(reader.readRemoved(key), 0));
        }
    }

    private void watch() {
        restartOnFailure("watch", this::watchOrWait);
    }

    private void watchOrWait() {
        if (!readPolicy.shouldRead(clock.getAsLong())) {
            schedule(this::watch, CHECK_MILLIS);
            return;
        }
        StoreRevision since = readPolicy.reader() ? ownRevision : revision;
        boolean wasBehind = readPolicy.behind();
        store.watch(
                "",
                since,
                reachability.onCall(readPolicy.watchMillis()),
                unlessRestarted(result -> restartOnFailure("changes", () -> onWatched(result, wasBehind))));
    }

    private void onWatched(Result<RevisionStore.Changes, StoreError> result, boolean wasBehind) {
        if (!(result instanceof Result.Ok<RevisionStore.Changes, StoreError> ok)) {
            onError(result.error().orElse(StoreError.MALFORMED), this::watch);
            return;
        }
        RevisionStore.Changes changes = ok.held();
        reachability.onAnswered();
        readPolicy.onDelivered(changes.revision());
        List<Change> relevant =
                changes.changes().stream().filter(this::isRelevant).toList();
        applyNewer(relevant, Source.STORE);
        markUpToDate();
        revision = StoreRevision.max(revision, changes.revision());
        ownRevision = StoreRevision.max(ownRevision, changes.revision());
        if (readPolicy.reader()) {
            forwardNew(relevant);
        }
        if (wasBehind && readPolicy.behind()) {
            // A peer reported changes that this watch did not return.
            LOG.info("store-changes-missed", Field.of("revision", revision));
            start();
            return;
        }
        schedule(this::watch, changes.changes().isEmpty() ? 0 : BATCH_MILLIS);
    }

    /** Runs a step of the watch, and reads a new snapshot after a delay if it throws. */
    private void restartOnFailure(String name, Runnable step) {
        if (!guard.run(name, revision, step)) {
            schedule(this::start, reachability.onFailed(StoreError.MALFORMED));
        }
    }

    private void markUpToDate() {
        reachability.onUpToDate();
        guard.run("up-to-date", revision, listener::onUpToDate);
    }

    private boolean isRelevant(Change change) {
        return change.key().equals(watchedKey) || reader.prefixes().stream().anyMatch(change.key()::startsWith);
    }

    /**
     * Returns whether a change must be forwarded to peers; servers rewrite their entries once a second, mostly unchanged.
     * The change is compared with the entries that this process read itself, as changes from a peer may not have reached all
     * others.
     */
    private boolean isNewToPeers(Change change) {
        if (change.value().isEmpty() || change.key().equals(watchedKey)) {
            ownEntries.remove(change.key());
            return true;
        }
        EntryChange.Observed observed =
                observe(reader.read(change.key(), change.value().get()));
        return recordIfChanged(ownEntries, change.key(), observed);
    }

    private void forwardNew(List<Change> changes) {
        boolean forwarded = guard.run(
                "forward",
                ownRevision,
                () -> forward(changes.stream().filter(this::isNewToPeers).toList()));
        if (!forwarded) {
            // The gap before the next update makes the peers read these changes from the store.
            forwardedRevision = ownRevision;
        }
    }

    private void forward(List<Change> changes) {
        long now = clock.getAsLong();
        if (changes.isEmpty() && now - forwardedNanos < IDLE_FORWARD_MILLIS * Timestamp.NANOS_PER_MILLI) {
            return;
        }
        int size = changes.stream()
                .mapToInt(c -> c.key().length() + c.value().map(String::length).orElse(0))
                .sum();
        boolean tooLarge = !BroadcastLimit.mayBroadcast(size, peerCount);
        changeForwarder.accept(
                new PeerMessage.StoreUpdate(forwardedRevision, ownRevision, tooLarge, tooLarge ? List.of() : changes));
        forwardedRevision = ownRevision;
        forwardedNanos = now;
    }

    /** Applies the changes that are newer than the current revision. */
    private void applyNewer(List<Change> changes, Source source) {
        StoreRevision from = revision;
        changes.stream().filter(change -> change.revision().isAfter(from)).forEach(change -> {
            if (!guard.run("change", change.key(), () -> apply(change, source))) {
                // The entry counts as changed when it is written again.
                appliedEntries.remove(change.key());
            }
        });
    }

    private void apply(Change change, Source source) {
        if (change.key().equals(watchedKey)) {
            onWatchedKey.accept(change.value().isPresent());
            return;
        }
        if (change.value().isEmpty()) {
            restoredEntries.onDeleted(change.key());
            remove(change.key(), change.revision(), source);
            return;
        }
        EntryChange.Observed observed =
                observe(read(change.key(), change.value().get()));
        if (!restoredEntries.holdBack(change.key(), appliedEntries.get(change.key()), observed)) {
            restoredEntries.onWritten(change.key());
            applyIfChanged(change.key(), observed);
        }
    }

    private void applyIfChanged(String key, EntryChange.Observed observed) {
        if (!recordIfChanged(appliedEntries, key, observed)) {
            return;
        }
        StoreEntry entry = observed.entry();
        endRetention(entry);
        listener.onEntry(entry);
    }

    private boolean isRetained(StoreEntry entry) {
        return entry instanceof StoreEntry.ServerEntry listed
                && missingServers.isRetained(listed.server().id());
    }

    /** Ends the retention of a server whose entry is in the store again. */
    private void endRetention(StoreEntry entry) {
        if (entry instanceof StoreEntry.ServerEntry listed) {
            missingServers.onListed(listed.server().id());
        }
    }

    private void remove(String key, StoreRevision removedAt, Source source) {
        EntryChange.Observed previous = appliedEntries.remove(key);
        StoreEntry.Removed removed = reader.readRemoved(key);
        if (previous != null && previous.entry() instanceof StoreEntry.ServerEntry last) {
            restoredEntries.onRemoved(key, last);
            if (removed instanceof StoreEntry.Removed.Server server && missingServers.retain(server, last)) {
                LOG.info(
                        "server-missing",
                        Field.of("server", server.server()),
                        Field.of("revision", removedAt),
                        Field.of("source", source),
                        Field.of("informedMillis", reachability.staleMillis()),
                        Field.of("holdMillis", reachability.gracePeriodMillis()));
                return;
            }
        }
        listener.onRemoved(removed, 0);
    }

    private EntryChange.Observed observe(StoreEntry entry) {
        return new EntryChange.Observed(entry, clock.getAsLong());
    }

    /** Records an entry if its content differs from the recorded one; returns whether it differs. */
    private static boolean recordIfChanged(
            Map<String, EntryChange.Observed> entries, String key, EntryChange.Observed next) {
        boolean changed = EntryChange.isChange(entries.get(key), next);
        if (changed) {
            entries.put(key, next);
        }
        return changed;
    }

    private StoreEntry read(String key, String value) {
        StoreEntry entry = reader.read(key, value);
        if (entry instanceof StoreEntry.Unreadable unreadable) {
            LOG.warn("entry-unreadable", Field.of("entry", key), Field.of("reason", unreadable.reason()));
        } else if (entry instanceof StoreEntry.UnreadableServer unreadable) {
            LOG.warn("entry-unreadable", Field.of("entry", key), Field.of("reason", unreadable.reason()));
        }
        return entry;
    }

    private <T> Consumer<Result<T, StoreError>> orRestart(Consumer<T> onValue) {
        return unlessRestarted(result -> restartOnFailure("snapshot-read", () -> {
            if (result instanceof Result.Ok<T, StoreError> ok) {
                reachability.onAnswered();
                onValue.accept(ok.held());
            } else {
                onError(result.error().orElse(StoreError.MALFORMED), this::start);
            }
        }));
    }

    private void onError(StoreError error, Runnable retry) {
        if (error == StoreError.HISTORY_GONE) {
            LOG.info("store-history-gone");
            start();
            return;
        }
        schedule(retry, reachability.onFailed(error));
    }
}
