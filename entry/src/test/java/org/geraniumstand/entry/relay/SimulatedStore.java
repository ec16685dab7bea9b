package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.StoreEra;
import org.geraniumstand.outside.store.StoreError;

/**
 * Simulates, in virtual time, the operations of the platform's store that entry processes use to watch server entries.
 *
 * <p>Each server writes its entry every {@link #HEARTBEAT_MILLIS}. An entry expires after three missing writes, even while the
 * store is down, and is written again soon after the store recovers.
 */
final class SimulatedStore {
    private static final long ANSWER_MILLIS = 4;

    /** Timeout of a call, in milliseconds, in addition to the time for which the call waits for changes. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;

    /** Interval between the attempts of a server to write its entry while the store is down, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    /** How the store responds to calls. */
    enum Availability {
        ANSWERS,
        REFUSES,
        SILENT
    }

    private final VirtualTimer timer;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<RevisionStore.Change> history = new ArrayList<>();
    private final Map<String, Long> writtenMillis = new TreeMap<>();
    private final Set<String> liveKeys = new HashSet<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<Integer, Availability> processAvailability = new TreeMap<>();
    private final Map<String, Long> removedRevisions = new TreeMap<>();
    private final Map<Integer, Map<String, Long>> removalReportMillis = new TreeMap<>();
    private Availability availability = Availability.ANSWERS;
    private final StoreEra era = new StoreEra();
    private long revision = 100;
    private long compactedRevision;
    private boolean compacting;

    private record Item(String value, long revision) {}

    private record Watch(int process, long since, Consumer<Result<RevisionStore.Changes, StoreError>> callback) {}

    SimulatedStore(VirtualTimer timer) {
        this.timer = timer;
    }

    /** Adds a server that writes its entry periodically from now on. */
    void addServer(String name, long phaseMillis) {
        String key = FakeEntryReader.KEY_PREFIX + name;
        liveKeys.add(key);
        write(key, FakeEntryReader.READY);
        timer.after(() -> heartbeat(key), phaseMillis % HEARTBEAT_MILLIS);
    }

    /** Removes the entry of a server that shuts down without announcing that it drains. */
    void removeUnannounced(String name) {
        String key = FakeEntryReader.KEY_PREFIX + name;
        liveKeys.remove(key);
        remove(key);
    }

    /** Returns when the store first reported the removal of a server to a process, in milliseconds. */
    Optional<Long> removalReportedMillis(int process, String name) {
        return Optional.ofNullable(
                removalReportMillis.getOrDefault(process, Map.of()).get(FakeEntryReader.KEY_PREFIX + name));
    }

    /** Records the removals that are reported to a process now. */
    private void recordReported(int process, long reportedRevision) {
        Map<String, Long> reported = removalReportMillis.computeIfAbsent(process, _process -> new TreeMap<>());
        removedRevisions.forEach((key, removed) -> {
            if (removed <= reportedRevision && !liveKeys.contains(key)) {
                reported.putIfAbsent(key, timer.millis());
            }
        });
    }

    /** Sets how the store responds to calls of all processes. */
    void setAvailability(Availability newAvailability) {
        availability = newAvailability;
        if (newAvailability == Availability.REFUSES) {
            failWatches(_watch -> true);
        } else if (newAvailability == Availability.SILENT) {
            watches.clear();
        }
    }

    /** Sets how the store responds to calls of one process. */
    void setAvailabilityFor(int process, Availability newAvailability) {
        processAvailability.put(process, newAvailability);
        if (newAvailability == Availability.REFUSES) {
            failWatches(watch -> watch.process() == process);
        } else if (newAvailability == Availability.SILENT) {
            watches.removeIf(watch -> watch.process() == process);
        }
    }

    /** Starts a compaction, during which watches return no changes. */
    void beginCompaction() {
        compacting = true;
    }

    /** Ends the compaction and drops the history; watches that need a part of it fail at the end of their wait. */
    void endCompaction() {
        compacting = false;
        compactedRevision = revision;
    }

    private StoreRevision at(long number) {
        return new StoreRevision(era.latest(), number);
    }

    private void failWatches(Predicate<Watch> filter) {
        List<Watch> ended = watches.stream().filter(filter).toList();
        watches.removeAll(ended);
        ended.forEach(watch -> watch.callback().accept(Result.err(StoreError.REFUSED)));
    }

    private void heartbeat(String key) {
        if (!liveKeys.contains(key)) {
            return;
        }
        if (availability == Availability.ANSWERS) {
            write(key, FakeEntryReader.READY);
            timer.after(() -> heartbeat(key), HEARTBEAT_MILLIS);
        } else {
            timer.after(() -> heartbeat(key), RETRY_MILLIS);
        }
    }

    private void write(String key, String value) {
        revision++;
        items.put(key, new Item(value, revision));
        long now = timer.millis();
        writtenMillis.put(key, now);
        timer.after(() -> expire(key, now), EXPIRY_MILLIS);
        record(new RevisionStore.Change(key, Optional.of(value), at(revision)));
    }

    private void expire(String key, long writtenAt) {
        if (items.containsKey(key) && writtenMillis.get(key) == writtenAt) {
            remove(key);
        }
    }

    private void remove(String key) {
        revision++;
        items.remove(key);
        removedRevisions.put(key, revision);
        record(new RevisionStore.Change(key, Optional.empty(), at(revision)));
    }

    private void record(RevisionStore.Change change) {
        history.add(change);
        if (availability != Availability.ANSWERS || compacting) {
            return;
        }
        List<Watch> answered = watches.stream()
                .filter(watch -> watch.since() >= compactedRevision)
                .toList();
        watches.removeAll(answered);
        answered.forEach(this::answer);
    }

    private void answer(Watch watch) {
        Result<RevisionStore.Changes, StoreError> changes = watch.since() < compactedRevision
                ? Result.err(StoreError.HISTORY_GONE)
                : Result.ok(new RevisionStore.Changes(
                        history.stream()
                                .filter(change -> change.revision().number() > watch.since())
                                .toList(),
                        at(revision)));
        timer.after(
                () -> {
                    changes.value()
                            .ifPresent(result -> recordReported(
                                    watch.process(), result.revision().number()));
                    watch.callback().accept(changes);
                },
                ANSWER_MILLIS);
    }

    private Availability availabilityFor(int process) {
        Availability forProcess = processAvailability.getOrDefault(process, Availability.ANSWERS);
        return availability == Availability.ANSWERS ? forProcess : availability;
    }

    /** Returns a client of the store for one process. */
    RevisionStore clientFor(int process) {
        return new ProcessClient(process);
    }

    /** The store client of one process, which supports only the calls of a {@link StoreWatcher}. */
    private final class ProcessClient implements RevisionStore {
        private final int process;

        private ProcessClient(int process) {
            this.process = process;
        }

        @Override
        public StoreEra era() {
            return era;
        }

        @Override
        public void read(String _key, Consumer<Result<Optional<RevisionStore.Item>, StoreError>> _callback) {
            throw new UnsupportedOperationException("read");
        }

        @Override
        public void commit(Commit _commit, Consumer<Result<StoreRevision, StoreError>> _callback) {
            throw new UnsupportedOperationException("commit");
        }

        @Override
        public void openLease(long _ttlMillis, Consumer<Result<StoreLease, StoreError>> _callback) {
            throw new UnsupportedOperationException("openLease");
        }

        @Override
        public void renewLease(StoreLease _lease, Consumer<Result<StoreLease, StoreError>> _callback) {
            throw new UnsupportedOperationException("renewLease");
        }

        @Override
        public void endLease(StoreLease _lease, Consumer<Result<StoreLease, StoreError>> _callback) {
            throw new UnsupportedOperationException("endLease");
        }

        /** Fails a call at once or after its timeout, as configured; returns whether the call fails. */
        private <T> boolean fails(long timeoutMillis, Consumer<Result<T, StoreError>> callback) {
            Availability state = availabilityFor(process);
            if (state == Availability.REFUSES) {
                timer.after(() -> callback.accept(Result.err(StoreError.REFUSED)), ANSWER_MILLIS);
            } else if (state == Availability.SILENT) {
                timer.after(() -> callback.accept(Result.err(StoreError.UNAVAILABLE)), timeoutMillis);
            }
            return state != Availability.ANSWERS;
        }

        @Override
        public void list(String prefix, Consumer<Result<Listing, StoreError>> callback) {
            if (fails(CALL_TIMEOUT_MILLIS, callback)) {
                return;
            }
            List<RevisionStore.Item> matches = new ArrayList<>();
            items.tailMap(prefix)
                    .forEach(
                            (key, item) -> matches.add(new RevisionStore.Item(key, item.value(), at(item.revision()))));
            Listing listing = new Listing(matches, at(revision));
            timer.after(
                    () -> {
                        recordReported(process, listing.revision().number());
                        callback.accept(Result.ok(listing));
                    },
                    ANSWER_MILLIS);
        }

        @Override
        public void watch(
                String _prefix,
                StoreRevision sinceRevision,
                long waitMillis,
                Consumer<Result<Changes, StoreError>> next) {
            long since = sinceRevision.number();
            Consumer<Result<Changes, StoreError>> callback = once(next);
            if (fails(waitMillis + CALL_TIMEOUT_MILLIS, callback)) {
                return;
            }
            Watch watch = new Watch(process, since, callback);
            if (!compacting && since >= compactedRevision && since < revision) {
                answer(watch);
                return;
            }
            watches.add(watch);
            timer.after(
                    () -> {
                        if (watches.remove(watch)) {
                            onWaitExpired(watch);
                        }
                    },
                    waitMillis);
            timer.after(() -> callback.accept(Result.err(StoreError.UNAVAILABLE)), waitMillis + CALL_TIMEOUT_MILLIS);
        }

        private void onWaitExpired(Watch watch) {
            if (compacting) {
                watch.callback().accept(Result.ok(new Changes(List.of(), at(watch.since()))));
            } else {
                answer(watch);
            }
        }

        private static <T> Consumer<T> once(Consumer<T> callback) {
            boolean[] done = new boolean[1];
            return value -> {
                if (!done[0]) {
                    done[0] = true;
                    callback.accept(value);
                }
            };
        }
    }
}
