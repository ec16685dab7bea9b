package org.geraniumstand.entry.relay;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.geraniumstand.decisions.relay.ReportContinuity;
import org.geraniumstand.decisions.relay.RequestCountTable;
import org.geraniumstand.decisions.relay.RequestCounter;
import org.geraniumstand.decisions.relay.WallClockEstimate;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.LeaderApi;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.support.log.Log;

/**
 * Counts the requests that started to run, and reports their totals by window and team while this process is the leader.
 *
 * <p>Each process sends its counts to two collectors, which write them to the store. The totals of a window are written to
 * the store by a conditional write before they are sent, so that two processes never report different totals.
 */
final class UsageTask {
    private static final Log LOG = Log.of(UsageTask.class);
    private static final String COUNT_PREFIX = "geraniumstand/usage/";
    private static final String REPORT_PREFIX = "geraniumstand/report/";

    /** Interval between ticks, in milliseconds. */
    private static final long TICK_MILLIS = 250;

    /** Interval between messages to the collectors, in milliseconds; a killed process loses the counts of one interval. */
    private static final long SEND_MILLIS = 500;

    /**
     * Interval between writes of the current window, in milliseconds; the loss of all processes loses the counts of one
     * interval.
     */
    private static final long SAVE_MILLIS = 1_000;

    /**
     * Delay after the end of a window at which collectors write its counts, in milliseconds; the last messages have arrived
     * by then.
     */
    private static final long COLLECT_MILLIS = 900;

    /**
     * Delay after the end of a window at which a process writes the counts that no collector has acknowledged, in
     * milliseconds.
     */
    private static final long UNACKNOWLEDGED_MILLIS = 1_300;

    /**
     * Delay after the end of a window at which its counts are summed, in milliseconds; all processes have written theirs
     * by then.
     */
    private static final long SUM_AFTER_MILLIS = 2_200;

    /** Number of windows before the first one of this process whose reports may be missing if all processes were lost. */
    private static final int EARLIER_WINDOWS = 2;

    /** Number of windows whose reports are retained in the store, which covers all that may still be due. */
    private static final int RETAINED_REPORTS = 20;

    /** Maximum number of entries removed by one write; the store accepts 32 changes in a write. */
    private static final int MAX_REMOVALS = 28;

    private final RevisionStore store;
    private final LeaderApi cloudApi;
    private final LeaderElection leaderElection;
    private final Timer timer;
    private final ProcessId process;
    private final Supplier<Timestamp> clock;
    private final RequestCounter counter;
    private final RequestCountTable collected = new RequestCountTable();
    private final WallClockEstimate wallClock = new WallClockEstimate();
    private final long lateMillis;
    private final ReportContinuity continuity;
    private final UsageReportGuard guard;
    private final TreeMap<Long, ReportState> reportStates = new TreeMap<>();

    /** Total requests in the last count entry that was written, by window. */
    private final Map<Long, Long> writtenTotals = new HashMap<>();

    private List<ProcessId> collectors = List.of();
    private BiConsumer<ProcessId, PeerMessage> sender = (_to, _message) -> {};
    private long firstWindow = -1;
    private long lastSendMillis;
    private long lastSaveMillis;

    /** Progress of the report of a window. */
    private enum ReportState {
        SUMMING,
        SENT
    }

    UsageTask(
            RevisionStore store,
            LeaderApi cloudApi,
            LeaderElection leaderElection,
            Timer timer,
            ProcessId process,
            RequestCounter counter,
            long lateMillis,
            Supplier<Timestamp> clock) {
        this.clock = clock;
        this.store = store;
        this.cloudApi = cloudApi;
        this.leaderElection = leaderElection;
        this.timer = timer;
        this.process = process;
        this.counter = counter;
        this.lateMillis = lateMillis;
        this.continuity =
                new ReportContinuity(counter.windowMillis(), SUM_AFTER_MILLIS, leaderElection.leaseReserveMillis());
        this.guard = new UsageReportGuard(store, continuity, REPORT_PREFIX);
        store.era().onRestored(_era -> timer.after(() -> checkEra(timestamp()), 0));
    }

    void start() {
        firstWindow = counter.windowOf(now());
        tick();
    }

    /** Sets the function that sends a message to another process. */
    void setSender(BiConsumer<ProcessId, PeerMessage> next) {
        sender = next;
    }

    /** Sets the processes that collect the counts of all processes, the primary one first. */
    void setCollectors(List<ProcessId> next) {
        collectors = List.copyOf(next);
    }

    /** Merges counts of another process and returns the totals that are recorded for it. */
    List<WindowTotal> onCounts(ProcessId from, List<WindowCounts> windowCounts) {
        return collected.onReport(from, windowCounts);
    }

    /** Records which counts of this process another process has acknowledged. */
    void onAcknowledged(ProcessId from, List<WindowTotal> totals) {
        // Counts that only this process holds are lost if it is killed, so its own acknowledgement is ignored.
        if (!from.equals(process)) {
            counter.onConfirmed(from, totals);
        }
    }

    /** Counts a request that started to run. */
    void onRequestStarted(TeamId team) {
        counter.onStarted(team, now());
    }

    /** Writes the counts that no other process has acknowledged, before this process exits. */
    void flush() {
        collected.onReport(process, counter.unconfirmedBefore(Long.MAX_VALUE));
        collected.windows().forEach(this::write);
    }

    private long now() {
        return wallClock.read(clock.get());
    }

    /** Returns the monotonic time and the estimated time of day. */
    private Timestamp timestamp() {
        return new Timestamp(clock.get().nanos(), now());
    }

    private void checkEra(Timestamp now) {
        if (continuity.onEra(store.era().latest(), now)) {
            LOG.info(
                    "usage-era", Field.of("era", store.era().latest()), Field.of("witness", continuity.awaitsMarker()));
            // The copy may lack counts that were written in the earlier era.
            writtenTotals.clear();
        }
    }

    private void tick() {
        timer.after(this::tick, TICK_MILLIS);
        Timestamp timestamp = timestamp();
        checkEra(timestamp);
        long now = timestamp.epochMillis();
        long oldestDue = counter.windowOf(now - lateMillis);
        counter.discardBefore(oldestDue);
        collected.discardBefore(oldestDue);
        continuity.discardBefore(oldestDue);
        writtenTotals.keySet().removeIf(window -> window < oldestDue);
        if (Math.abs(now - lastSendMillis) >= SEND_MILLIS) {
            lastSendMillis = now;
            sendCounts();
        }
        save(now);
        Optional<LeaderApi.Claim> token = leaderElection.fencingToken();
        token.ifPresent(claim -> continuity.onLeading(claim.token(), timestamp));
        if (!leaderElection.held()) {
            continuity.onLeadershipLost();
        }
        guard.check(timestamp);
        if (token.isPresent()) {
            continuity.firstWindow(timestamp).ifPresent(first -> report(now, first));
        }
    }

    private void sendCounts() {
        for (ProcessId collector : collectors) {
            List<WindowCounts> missingCounts = counter.unconfirmed(collector);
            if (collector.equals(process)) {
                collected.onReport(process, missingCounts);
            } else if (!missingCounts.isEmpty()) {
                sender.accept(collector, new PeerMessage.RequestCountReport(missingCounts));
            }
        }
    }

    /** Writes changed counts of completed windows and, once per save interval, of the current window. */
    private void save(long now) {
        if (collectors.contains(process)) {
            long firstOpenWindow = counter.windowOf(now - COLLECT_MILLIS);
            collected.windows().stream()
                    .filter(window -> window < firstOpenWindow)
                    .forEach(this::write);
        } else {
            List<WindowCounts> unacknowledged =
                    counter.unconfirmedBefore(counter.windowOf(now - UNACKNOWLEDGED_MILLIS));
            collected.onReport(process, unacknowledged);
            unacknowledged.forEach(counts -> write(counts.window()));
        }
        boolean savesCurrent = collectors.isEmpty() || collectors.get(0).equals(process);
        if (savesCurrent && Math.abs(now - lastSaveMillis) >= SAVE_MILLIS) {
            lastSaveMillis = now;
            write(counter.windowOf(now));
        }
    }

    private void write(long window) {
        // Counts only increase, so the entry has changed if and only if their total has.
        long total = collected.total(window);
        if (total == writtenTotals.getOrDefault(window, 0L)) {
            return;
        }
        writtenTotals.put(window, total);
        String document = UsageCountsJson.writeByProcess(collected.window(window));
        store.commit(Commit.put(COUNT_PREFIX + window + "/" + process, document, StoreLease.NONE), result -> {
            if (result.error().isPresent()) {
                // The next tick writes them again, which is harmless as counts only increase.
                writtenTotals.remove(window);
                LOG.warn(
                        "usage-not-written",
                        Field.of("window", window),
                        Field.of("error", result.error().get()));
            }
        });
    }

    private void report(long now, long first) {
        long newest = counter.windowOf(now - SUM_AFTER_MILLIS) - 1;
        long due = Math.max(firstWindow - EARLIER_WINDOWS, counter.windowOf(now - lateMillis));
        long oldest = Math.max(first, due);
        reportStates.headMap(oldest).clear();
        for (long window = oldest; window <= newest; window++) {
            if (reportStates.putIfAbsent(window, ReportState.SUMMING) == null) {
                sumWindow(window);
            }
        }
    }

    private void retry(long window) {
        timer.after(() -> reportStates.remove(window, ReportState.SUMMING), TICK_MILLIS);
    }

    private void sumWindow(long window) {
        String key = REPORT_PREFIX + window;
        long era = store.era().latest();
        store.read(
                key,
                result -> ifCurrent(window, era, result, item -> {
                    if (item.isPresent()) {
                        resend(window, era, item.get());
                    } else {
                        continuity.onUnrecorded(window);
                        collect(window, era, key);
                    }
                }));
    }

    /** Passes on an answer, unless it is an error or the store was restored since the first read for the window. */
    private <T> void ifCurrent(long window, long era, Result<T, StoreError> result, Consumer<T> next) {
        result.fold(
                value -> {
                    if (store.era().latest() == era) {
                        next.accept(value);
                        return true;
                    }
                    LOG.info(
                            "usage-sum-outdated",
                            Field.of("window", window),
                            Field.of("era", era),
                            Field.of("latestEra", store.era().latest()));
                    retry(window);
                    return false;
                },
                error -> onSumFailed(window, error));
    }

    /** Sends the recorded totals unchanged, as a report with these totals may already have been accepted. */
    private void resend(long window, long era, Item item) {
        try {
            Map<TeamId, Long> teamTotals = UsageCountsJson.readByTeam(item.value());
            LOG.info(
                    "usage-found",
                    Field.of("window", window),
                    Field.of("requests", sum(teamTotals)),
                    Field.of("revision", item.revision()));
            continuity.onRecord(window, item.value());
            sendReport(window, era, teamTotals);
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("report-unreadable", Field.of("entry", item.key()), Field.of("reason", e.getClass()));
        }
    }

    private void collect(long window, long era, String key) {
        // One list also finds entries of earlier windows, which a restored copy brought back after they were summed.
        store.list(
                COUNT_PREFIX,
                result -> ifCurrent(window, era, result, listing -> recordTotals(window, era, key, listing.items())));
    }

    private void recordTotals(long window, long era, String key, List<Item> listed) {
        String prefix = COUNT_PREFIX + window + "/";
        List<Item> items =
                listed.stream().filter(item -> item.key().startsWith(prefix)).toList();
        RequestCountTable table = new RequestCountTable();
        items.forEach(item -> addCounts(table, window, item));
        Map<TeamId, Long> teamTotals = table.sums(window);
        String document = UsageCountsJson.writeByTeam(teamTotals);
        Commit commit = new Commit(
                List.of(new RevisionStore.Expected(key, StoreRevision.NONE)),
                List.of(new RevisionStore.Put(key, document, StoreLease.NONE)),
                removals(window, items, listed));
        store.commit(
                commit,
                result -> ifCurrent(window, era, result, revision -> {
                    LOG.info(
                            "usage-recorded",
                            Field.of("window", window),
                            Field.of("requests", sum(teamTotals)),
                            Field.of("entries", items.size()),
                            Field.of("revision", revision));
                    continuity.onRecord(window, document);
                    sendReport(window, era, teamTotals);
                }));
    }

    /**
     * Returns the keys to remove with the write of a report: the summed count entries, and the entries and the report of
     * windows that are no longer due.
     */
    private List<String> removals(long window, List<Item> summed, List<Item> listed) {
        long oldestDue = counter.windowOf(now() - lateMillis);
        Stream<Item> overdue = listed.stream().filter(item -> windowOfEntry(item.key()) < oldestDue);
        return Stream.concat(
                        Stream.of(REPORT_PREFIX + (window - RETAINED_REPORTS)),
                        Stream.concat(summed.stream(), overdue).map(Item::key).limit(MAX_REMOVALS))
                .toList();
    }

    /** Returns the window of a count entry, or {@link Long#MAX_VALUE} if the key names none. */
    private static long windowOfEntry(String key) {
        int end = key.indexOf('/', COUNT_PREFIX.length());
        try {
            return end < 0 ? Long.MAX_VALUE : Long.parseLong(key.substring(COUNT_PREFIX.length(), end));
        } catch (NumberFormatException _e) {
            LOG.warn("usage-unreadable", Field.of("entry", key));
            return Long.MAX_VALUE;
        }
    }

    private boolean onSumFailed(long window, StoreError error) {
        LOG.warn("usage-not-summed", Field.of("window", window), Field.of("error", error));
        retry(window);
        return false;
    }

    private void sendReport(long window, long era, Map<TeamId, Long> teamTotals) {
        Optional<LeaderApi.Claim> token = leaderElection.fencingToken();
        if (token.isEmpty()) {
            retry(window);
            return;
        }
        cloudApi.reportUsage(token.get(), window, teamTotals, outcome -> {
            LOG.info(
                    "usage-reported",
                    Field.of("window", window),
                    Field.of("requests", sum(teamTotals)),
                    Field.of("era", era),
                    Field.of("fence", token.get().token()),
                    Field.of("outcome", outcome));
            if (outcome == LeaderApi.Outcome.DONE) {
                reportStates.put(window, ReportState.SENT);
            } else {
                if (outcome == LeaderApi.Outcome.REFUSED) {
                    leaderElection.onFenced();
                }
                retry(window);
            }
        });
    }

    private static long sum(Map<TeamId, Long> teamTotals) {
        return teamTotals.values().stream().mapToLong(Long::longValue).sum();
    }

    private static void addCounts(RequestCountTable table, long window, Item item) {
        try {
            UsageCountsJson.readByProcess(item.value())
                    .forEach((countingProcess, counts) ->
                            table.onReport(countingProcess, List.of(new WindowCounts(window, counts))));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("usage-unreadable", Field.of("entry", item.key()), Field.of("reason", e.getClass()));
        }
    }
}
