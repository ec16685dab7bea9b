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
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.store.StoreError;

/**
 * The platform's store in virtual time, as far as entry processes follow the servers' entries in it.
 *
 * <p>Servers write their entries once in {@link #HEARTBEAT_MILLIS}. An entry is removed once three such writes are missing, also while
 * the store is down, and is written again soon after the store is back.
 */
final class SimulatedStore {
    private static final long ANSWER_MILLIS = 4;

    /** Milliseconds after which a caller gives up a call that is not answered, beyond what the call asked to wait. */
    private static final long CALL_MILLIS = 1_000;

    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long LAPSE_MILLIS = 3 * HEARTBEAT_MILLIS;

    /** Milliseconds between a server's attempts to write while the store is down. */
    private static final long RETRY_MILLIS = 500;

    /** How the store treats calls. */
    enum Service {
        ANSWERS,
        REFUSES,
        SILENT
    }

    private final VirtualTimer timer;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<RevisionStore.Change> history = new ArrayList<>();
    private final Map<String, Long> writtenMillis = new TreeMap<>();
    private final Set<String> living = new HashSet<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<Integer, Service> perProcess = new TreeMap<>();
    private final Map<String, Long> removedRevisions = new TreeMap<>();
    private final Map<Integer, Map<String, Long>> toldMillis = new TreeMap<>();
    private Service service = Service.ANSWERS;
    private long revision = 100;
    private long forgottenRevision;
    private boolean quiet;

    private record Item(String value, long revision) {}

    private record Watch(int process, long since, Consumer<Result<RevisionStore.Changes, StoreError>> callback) {}

    SimulatedStore(VirtualTimer timer) {
        this.timer = timer;
    }

    /** Adds a server that writes its entry from now on. */
    void addServer(String name, long phaseMillis) {
        String key = FakeEntryReader.PREFIX + name;
        living.add(key);
        write(key, FakeEntryReader.READY);
        timer.after(() -> heartbeat(key), phaseMillis % HEARTBEAT_MILLIS);
    }

    /** Removes the entry of a server that leaves without a word. */
    void removeUnannounced(String name) {
        String key = FakeEntryReader.PREFIX + name;
        living.remove(key);
        remove(key);
    }

    /** Returns when the store first told a process that a server which left is gone, in milliseconds. */
    Optional<Long> toldGoneMillis(int process, String name) {
        return Optional.ofNullable(toldMillis.getOrDefault(process, Map.of()).get(FakeEntryReader.PREFIX + name));
    }

    /** Notes what a process is told now. */
    private void noteTold(int process, long toldRevision) {
        Map<String, Long> told = toldMillis.computeIfAbsent(process, _process -> new TreeMap<>());
        removedRevisions.forEach((key, removed) -> {
            if (removed <= toldRevision && !living.contains(key)) {
                told.putIfAbsent(key, timer.millis());
            }
        });
    }

    /** Changes how all calls are treated. */
    void treatAll(Service next) {
        service = next;
        if (next == Service.REFUSES) {
            endWatches(_watch -> true);
        } else if (next == Service.SILENT) {
            watches.clear();
        }
    }

    /** Changes how the calls of a process are treated. */
    void treat(int process, Service next) {
        perProcess.put(process, next);
        if (next == Service.REFUSES) {
            endWatches(watch -> watch.process() == process);
        } else if (next == Service.SILENT) {
            watches.removeIf(watch -> watch.process() == process);
        }
    }

    /** Tells watches nothing from now on. */
    void beginCompaction() {
        quiet = true;
    }

    /** Drops the history; watches that want a part of it are told so at the end of their wait. */
    void endCompaction() {
        quiet = false;
        forgottenRevision = revision;
    }

    private void endWatches(Predicate<Watch> which) {
        List<Watch> ended = watches.stream().filter(which).toList();
        watches.removeAll(ended);
        ended.forEach(watch -> watch.callback().accept(Result.err(StoreError.REFUSED)));
    }

    private void heartbeat(String key) {
        if (!living.contains(key)) {
            return;
        }
        if (service == Service.ANSWERS) {
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
        timer.after(() -> lapse(key, now), LAPSE_MILLIS);
        record(new RevisionStore.Change(key, Optional.of(value), revision));
    }

    private void lapse(String key, long writtenAt) {
        if (items.containsKey(key) && writtenMillis.get(key) == writtenAt) {
            remove(key);
        }
    }

    private void remove(String key) {
        revision++;
        items.remove(key);
        removedRevisions.put(key, revision);
        record(new RevisionStore.Change(key, Optional.empty(), revision));
    }

    private void record(RevisionStore.Change change) {
        history.add(change);
        if (service != Service.ANSWERS || quiet) {
            return;
        }
        List<Watch> told = watches.stream()
                .filter(watch -> watch.since() >= forgottenRevision)
                .toList();
        watches.removeAll(told);
        told.forEach(this::answer);
    }

    private void answer(Watch watch) {
        Result<RevisionStore.Changes, StoreError> changes = watch.since() < forgottenRevision
                ? Result.err(StoreError.HISTORY_GONE)
                : Result.ok(new RevisionStore.Changes(
                        history.stream()
                                .filter(change -> change.revision() > watch.since())
                                .toList(),
                        revision));
        timer.after(
                () -> {
                    changes.value().ifPresent(told -> noteTold(watch.process(), told.revision()));
                    watch.callback().accept(changes);
                },
                ANSWER_MILLIS);
    }

    private Service treatmentOf(int process) {
        Service own = perProcess.getOrDefault(process, Service.ANSWERS);
        return service == Service.ANSWERS ? own : service;
    }

    /** Returns the store as a process sees it. */
    RevisionStore seenBy(int process) {
        return new View(process);
    }

    /** The calls of one process; a follower makes no others than these. */
    private final class View implements RevisionStore {
        private final int process;

        private View(int process) {
            this.process = process;
        }

        @Override
        public void read(String _key, Consumer<Result<Optional<RevisionStore.Item>, StoreError>> _callback) {
            throw new UnsupportedOperationException("read");
        }

        @Override
        public void commit(Commit _commit, Consumer<Result<Long, StoreError>> _callback) {
            throw new UnsupportedOperationException("commit");
        }

        @Override
        public void openLease(long _ttlMillis, Consumer<Result<Long, StoreError>> _callback) {
            throw new UnsupportedOperationException("openLease");
        }

        @Override
        public void renewLease(long _lease, Consumer<Result<Long, StoreError>> _callback) {
            throw new UnsupportedOperationException("renewLease");
        }

        @Override
        public void endLease(long _lease, Consumer<Result<Long, StoreError>> _callback) {
            throw new UnsupportedOperationException("endLease");
        }

        /** Refuses a call, or lets its caller give it up; returns whether it did. */
        private <T> boolean fails(long timeoutMillis, Consumer<Result<T, StoreError>> callback) {
            Service treatment = treatmentOf(process);
            if (treatment == Service.REFUSES) {
                timer.after(() -> callback.accept(Result.err(StoreError.REFUSED)), ANSWER_MILLIS);
            } else if (treatment == Service.SILENT) {
                timer.after(() -> callback.accept(Result.err(StoreError.UNAVAILABLE)), timeoutMillis);
            }
            return treatment != Service.ANSWERS;
        }

        @Override
        public void list(String prefix, Consumer<Result<Listing, StoreError>> callback) {
            if (fails(CALL_MILLIS, callback)) {
                return;
            }
            List<RevisionStore.Item> found = new ArrayList<>();
            items.tailMap(prefix)
                    .forEach((key, item) -> found.add(new RevisionStore.Item(key, item.value(), item.revision())));
            Listing listing = new Listing(found, revision);
            timer.after(
                    () -> {
                        noteTold(process, listing.revision());
                        callback.accept(Result.ok(listing));
                    },
                    ANSWER_MILLIS);
        }

        @Override
        public void watch(String _prefix, long since, long waitMillis, Consumer<Result<Changes, StoreError>> next) {
            Consumer<Result<Changes, StoreError>> callback = once(next);
            if (fails(waitMillis + CALL_MILLIS, callback)) {
                return;
            }
            Watch watch = new Watch(process, since, callback);
            if (!quiet && since >= forgottenRevision && since < revision) {
                answer(watch);
                return;
            }
            watches.add(watch);
            timer.after(
                    () -> {
                        if (watches.remove(watch)) {
                            endOfWait(watch);
                        }
                    },
                    waitMillis);
            timer.after(() -> callback.accept(Result.err(StoreError.UNAVAILABLE)), waitMillis + CALL_MILLIS);
        }

        private void endOfWait(Watch watch) {
            if (quiet) {
                watch.callback().accept(Result.ok(new Changes(List.of(), watch.since())));
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
