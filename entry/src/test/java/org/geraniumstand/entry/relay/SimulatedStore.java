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
 * store is down, and is written again soon after the store recovers. The store may be restored to the state of some seconds
 * before, in a new era; the operator then writes again what it wrote since.
 */
final class SimulatedStore {
    private static final long ANSWER_MILLIS = 4;

    /** Timeout of a call, in milliseconds, in addition to the time for which the call waits for changes. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;

    /** Interval between the attempts of a server to write its entry while the store is down, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    /** Delay after a restoration at which the operator writes again what was lost, in milliseconds. */
    private static final long OPERATOR_REWRITE_MILLIS = 1_000;

    /** How the store responds to calls. */
    enum Availability {
        ANSWERS,
        REFUSES,
        SILENT
    }

    private final VirtualTimer timer;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Recorded> history = new ArrayList<>();
    private final Map<String, Long> writtenMillis = new TreeMap<>();
    private final Set<String> liveKeys = new HashSet<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<Integer, Availability> processAvailability = new TreeMap<>();
    private final Map<String, Long> removedRevisions = new TreeMap<>();
    private final Map<Integer, Map<String, Long>> removalReportMillis = new TreeMap<>();
    private Availability availability = Availability.ANSWERS;
    private final Map<String, Long> sequences = new TreeMap<>();
    private final Set<String> drainingKeys = new HashSet<>();
    private final Map<Integer, Long> frozenUntilMillis = new TreeMap<>();

    /** What the operator wants the store to hold: the keys it wrote, true until it removed them. */
    private final Map<String, Boolean> operatorKeys = new TreeMap<>();

    private long era = 1;
    private long revision = 100;
    private long compactedRevision;
    private boolean compacting;

    private record Item(String value, long revision) {}

    private record Watch(int process, long since, Consumer<Result<RevisionStore.Changes, StoreError>> callback) {}

    /** A change of the current history and the time at which it was made, in milliseconds. */
    private record Recorded(String key, Optional<String> value, long number, long atMillis) {}

    SimulatedStore(VirtualTimer timer) {
        this.timer = timer;
    }

    /** Adds a server that writes its entry periodically from now on. */
    void addServer(String name, long phaseMillis) {
        String key = FakeEntryReader.KEY_PREFIX + name;
        liveKeys.add(key);
        write(key, nextValue(key));
        timer.after(() -> heartbeat(key), phaseMillis % HEARTBEAT_MILLIS);
    }

    /** Returns what a server writes next; the names of servers state no start, so all have the same. */
    private String nextValue(String key) {
        String state = drainingKeys.contains(key) ? FakeEntryReader.DRAINING : FakeEntryReader.READY;
        return FakeEntryReader.numbered(state, 1, sequences.merge(key, 1L, Long::sum));
    }

    /** Lets a server announce that it drains. */
    void drain(String name) {
        String key = FakeEntryReader.KEY_PREFIX + name;
        drainingKeys.add(key);
        write(key, nextValue(key));
    }

    /** Writes the evacuation of a data centre, or removes it. */
    void setEvacuated(String dataCentre, boolean evacuated) {
        String key = FakeEntryReader.OUT_PREFIX + dataCentre;
        operatorKeys.put(key, evacuated);
        writeAsOperator(key);
    }

    private void writeAsOperator(String key) {
        boolean wanted = operatorKeys.get(key);
        if (wanted && !items.containsKey(key)) {
            revision++;
            items.put(key, new Item("{}", revision));
            record(key, Optional.of("{}"));
        } else if (!wanted && items.containsKey(key)) {
            remove(key);
        }
    }

    /** Returns the names of the servers that live and have not announced that they drain. */
    Set<String> readyServers() {
        Set<String> names = new HashSet<>();
        liveKeys.stream()
                .filter(key -> !drainingKeys.contains(key))
                .forEach(key -> names.add(key.substring(FakeEntryReader.KEY_PREFIX.length())));
        return names;
    }

    /** Brings the store back in the state of some time ago, in a new era, and makes it answer. */
    void restore(long backMillis) {
        long copiedMillis = timer.millis() - backMillis;
        failWatches(_watch -> true);
        history.removeIf(change -> change.atMillis() > copiedMillis);
        revision =
                history.isEmpty() ? revision : history.get(history.size() - 1).number();
        compactedRevision = Math.min(compactedRevision, revision);
        removedRevisions.values().removeIf(removed -> removed > revision);
        items.clear();
        history.forEach(change -> change.value()
                .ifPresentOrElse(
                        value -> items.put(change.key(), new Item(value, change.number())),
                        () -> items.remove(change.key())));
        era++;
        setAvailability(Availability.ANSWERS);
        long now = timer.millis();
        items.keySet().stream()
                .filter(key -> key.startsWith(FakeEntryReader.KEY_PREFIX))
                .forEach(key -> {
                    writtenMillis.put(key, now);
                    timer.after(() -> expire(key, now), EXPIRY_MILLIS);
                });
        timer.after(
                () -> {
                    if (availability == Availability.ANSWERS) {
                        operatorKeys.keySet().forEach(this::writeAsOperator);
                    }
                },
                OPERATOR_REWRITE_MILLIS);
    }

    /** Freezes a process; what would happen in it until then happens when it goes on. */
    void freeze(int process, long untilMillis) {
        frozenUntilMillis.put(process, untilMillis);
    }

    /** Runs a step of a process, at once or when the process is no longer frozen. */
    void run(int process, Runnable step) {
        long until = frozenUntilMillis.getOrDefault(process, 0L);
        if (until > timer.millis()) {
            timer.at(until, step);
        } else {
            step.run();
        }
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
        return new StoreRevision(era, number);
    }

    private void failWatches(Predicate<Watch> filter) {
        List<Watch> ended = watches.stream().filter(filter).toList();
        watches.removeAll(ended);
        ended.forEach(watch -> run(watch.process(), () -> watch.callback().accept(Result.err(StoreError.REFUSED))));
    }

    private void heartbeat(String key) {
        if (!liveKeys.contains(key)) {
            return;
        }
        if (availability == Availability.ANSWERS) {
            write(key, nextValue(key));
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
        record(key, Optional.of(value));
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
        record(key, Optional.empty());
    }

    private void record(String key, Optional<String> value) {
        history.add(new Recorded(key, value, revision, timer.millis()));
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
                                .filter(change -> change.number() > watch.since())
                                .map(change ->
                                        new RevisionStore.Change(change.key(), change.value(), at(change.number())))
                                .toList(),
                        at(revision)));
        timer.after(
                () -> run(watch.process(), () -> {
                    changes.value()
                            .ifPresent(result -> recordReported(
                                    watch.process(), result.revision().number()));
                    watch.callback().accept(changes);
                }),
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
        private final StoreEra known = new StoreEra();

        private ProcessClient(int process) {
            this.process = process;
        }

        @Override
        public StoreEra era() {
            return known;
        }

        /** Returns a callback that fails for answers of an earlier era, as the client of the real store does. */
        private <T> Consumer<Result<T, StoreError>> inEra(long answered, Consumer<Result<T, StoreError>> callback) {
            return result -> {
                if (known.isOutdated(answered)) {
                    callback.accept(Result.err(StoreError.UNAVAILABLE));
                    return;
                }
                known.onReported(answered);
                callback.accept(result);
            };
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
                timer.after(() -> run(process, () -> callback.accept(Result.err(StoreError.REFUSED))), ANSWER_MILLIS);
            } else if (state == Availability.SILENT) {
                timer.after(
                        () -> run(process, () -> callback.accept(Result.err(StoreError.UNAVAILABLE))), timeoutMillis);
            }
            return state != Availability.ANSWERS;
        }

        @Override
        public void list(String prefix, Consumer<Result<Listing, StoreError>> callback) {
            if (fails(CALL_TIMEOUT_MILLIS, callback)) {
                return;
            }
            List<RevisionStore.Item> matches = new ArrayList<>();
            items.tailMap(prefix).forEach((key, item) -> {
                if (key.startsWith(prefix)) {
                    matches.add(new RevisionStore.Item(key, item.value(), at(item.revision())));
                }
            });
            Listing listing = new Listing(matches, at(revision));
            Consumer<Result<Listing, StoreError>> answer = inEra(era, callback);
            timer.after(
                    () -> run(process, () -> {
                        recordReported(process, listing.revision().number());
                        answer.accept(Result.ok(listing));
                    }),
                    ANSWER_MILLIS);
        }

        @Override
        public void watch(
                String _prefix,
                StoreRevision sinceRevision,
                long waitMillis,
                Consumer<Result<Changes, StoreError>> next) {
            long since = sinceRevision.number();
            Consumer<Result<Changes, StoreError>> callback = once(result -> answerWatch(sinceRevision, result, next));
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
            timer.after(
                    () -> run(process, () -> callback.accept(Result.err(StoreError.UNAVAILABLE))),
                    waitMillis + CALL_TIMEOUT_MILLIS);
        }

        private void answerWatch(
                StoreRevision since,
                Result<Changes, StoreError> result,
                Consumer<Result<Changes, StoreError>> callback) {
            Consumer<Result<Changes, StoreError>> inSameEra = answer ->
                    callback.accept(known.isOutdated(since.era()) ? Result.err(StoreError.HISTORY_GONE) : answer);
            if (result instanceof Result.Ok<Changes, StoreError> ok) {
                inEra(ok.held().revision().era(), inSameEra).accept(result);
            } else {
                callback.accept(result);
            }
        }

        private void onWaitExpired(Watch watch) {
            if (compacting) {
                run(process, () -> watch.callback().accept(Result.ok(new Changes(List.of(), at(watch.since())))));
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
