package org.geraniumstand.entry.relay;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.geraniumstand.decisions.relay.TrueTime;
import org.geraniumstand.decisions.relay.UsageBook;
import org.geraniumstand.decisions.relay.UsageTable;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.DutyDesk;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.support.log.Log;

/**
 * Counts the requests that began to run, has two processes gather the counts of all and write them to the store, and
 * reports their sums while this process holds the duty.
 *
 * <p>The sums of a window are written to the store under a condition before they are sent, so that no two processes
 * ever send different ones.
 */
final class UsageTask {
    private static final Log LOG = Log.of(UsageTask.class);
    private static final String COUNTS = "geraniumstand/usage/";
    private static final String REPORTS = "geraniumstand/report/";

    /** Milliseconds between looks at the clock. */
    private static final long TICK_MILLIS = 250;

    /** Milliseconds between messages about counts; a process that is killed loses as much of its counts. */
    private static final long SHARE_MILLIS = 500;

    /** Milliseconds between rows of a window that goes on; what the loss of all processes costs. */
    private static final long SAVE_MILLIS = 1_000;

    /** Milliseconds after a window's end when what was gathered is written; the last messages are in by then. */
    private static final long GATHERED_MILLIS = 900;

    /** Milliseconds after a window's end when a process writes counts that nobody confirmed. */
    private static final long ALONE_MILLIS = 1_300;

    /** Milliseconds after a window's end when its counts are summed up, so that all rows are written. */
    private static final long SUM_AFTER_MILLIS = 2_200;

    /** Windows before the first one of this process whose reports may be missing after the loss of all processes. */
    private static final int EARLIER_WINDOWS = 2;

    /** Windows whose reports are kept; all that may still be due. */
    private static final int REPORTS_KEPT = 20;

    /** Entries removed with one write; the store takes 32 changes in all. */
    private static final int MOST_REMOVALS = 28;

    private final RevisionStore store;
    private final DutyDesk desk;
    private final LeaderElection lease;
    private final Timer timer;
    private final ProcessId process;
    private final Supplier<Moment> clock;
    private final UsageBook book;
    private final UsageTable gathered = new UsageTable();
    private final TrueTime time = new TrueTime();
    private final long lateMillis;
    private final TreeMap<Long, State> windows = new TreeMap<>();

    /** Requests in the row that was written last, by window. */
    private final Map<Long, Long> written = new HashMap<>();

    private List<ProcessId> gatherers = List.of();
    private BiConsumer<ProcessId, PeerMessage> send = (_to, _message) -> {};
    private long firstWindow = -1;
    private long sharedMillis;
    private long savedMillis;

    /** How far the report of a window has come. */
    private enum State {
        SUMMING,
        SENT
    }

    UsageTask(
            RevisionStore store,
            DutyDesk desk,
            LeaderElection lease,
            Timer timer,
            ProcessId process,
            UsageBook book,
            long lateMillis,
            Supplier<Moment> clock) {
        this.clock = clock;
        this.store = store;
        this.desk = desk;
        this.lease = lease;
        this.timer = timer;
        this.process = process;
        this.book = book;
        this.lateMillis = lateMillis;
    }

    void start() {
        firstWindow = book.windowOf(now());
        tick();
    }

    /** Sets what sends messages to other processes. */
    void onShares(BiConsumer<ProcessId, PeerMessage> next) {
        send = next;
    }

    /** Takes in which processes gather the counts of all, the first one before the second. */
    void onGatherers(List<ProcessId> next) {
        gatherers = List.copyOf(next);
    }

    /** Takes in counts of another process and returns what is known of it by now. */
    List<WindowTotal> onTold(ProcessId from, List<WindowCounts> told) {
        return gathered.onTold(from, told);
    }

    /** Takes in which counts of this process another one has. */
    void onConfirmed(ProcessId from, List<WindowTotal> totals) {
        // What this process told itself is not safe with another one.
        if (!from.equals(process)) {
            book.onConfirmed(from, totals);
        }
    }

    /** Counts a request that began to run. */
    void onBegan(TeamId team) {
        book.onBegan(team, now());
    }

    /** Writes what nobody else has, as this process ends. */
    void flush() {
        gathered.onTold(process, book.unknownBefore(Long.MAX_VALUE));
        gathered.windows().forEach(this::write);
    }

    private long now() {
        return time.read(clock.get());
    }

    private void tick() {
        timer.after(this::tick, TICK_MILLIS);
        long now = now();
        long oldestDue = book.windowOf(now - lateMillis);
        book.forgetBefore(oldestDue);
        gathered.forgetBefore(oldestDue);
        written.keySet().removeIf(window -> window < oldestDue);
        if (Math.abs(now - sharedMillis) >= SHARE_MILLIS) {
            sharedMillis = now;
            share();
        }
        save(now);
        if (lease.claim().isPresent()) {
            report(now);
        }
    }

    private void share() {
        for (ProcessId gatherer : gatherers) {
            List<WindowCounts> missing = book.unconfirmed(gatherer);
            if (gatherer.equals(process)) {
                gathered.onTold(process, missing);
            } else if (!missing.isEmpty()) {
                send.accept(gatherer, new PeerMessage.UsageShare(missing));
            }
        }
    }

    /** Writes rows of windows that are over, and now and then of the one that goes on, if they changed. */
    private void save(long now) {
        if (gatherers.contains(process)) {
            long over = book.windowOf(now - GATHERED_MILLIS);
            gathered.windows().stream().filter(window -> window < over).forEach(this::write);
        } else {
            List<WindowCounts> alone = book.unknownBefore(book.windowOf(now - ALONE_MILLIS));
            gathered.onTold(process, alone);
            alone.forEach(counts -> write(counts.window()));
        }
        boolean saves = gatherers.isEmpty() || gatherers.get(0).equals(process);
        if (saves && Math.abs(now - savedMillis) >= SAVE_MILLIS) {
            savedMillis = now;
            write(book.windowOf(now));
        }
    }

    private void write(long window) {
        // Counts only grow, so the row changed if and only if their total did.
        long total = gathered.total(window);
        if (total == written.getOrDefault(window, 0L)) {
            return;
        }
        written.put(window, total);
        String row = UsageCountsJson.row(gathered.window(window));
        store.commit(Commit.put(COUNTS + window + "/" + process, row, 0), result -> {
            if (result.error().isPresent()) {
                // The next look writes them again, which is harmless as they only grow.
                written.remove(window);
                LOG.warn(
                        "usage-not-written",
                        Field.of("window", window),
                        Field.of("error", result.error().get()));
            }
        });
    }

    private void report(long now) {
        long newest = book.windowOf(now - SUM_AFTER_MILLIS) - 1;
        long oldest = Math.max(firstWindow - EARLIER_WINDOWS, book.windowOf(now - lateMillis));
        windows.headMap(oldest).clear();
        for (long window = oldest; window <= newest; window++) {
            if (windows.putIfAbsent(window, State.SUMMING) == null) {
                sum(window);
            }
        }
    }

    private void retry(long window) {
        timer.after(() -> windows.remove(window, State.SUMMING), TICK_MILLIS);
    }

    private void sum(long window) {
        String key = REPORTS + window;
        store.read(
                key,
                result -> result.fold(
                        item -> {
                            if (item.isPresent()) {
                                sendAgain(window, item.get());
                            } else {
                                collect(window, key);
                            }
                            return true;
                        },
                        error -> failed(window, error)));
    }

    /** Sends what was recorded, and nothing else, as another report may have been accepted before. */
    private void sendAgain(long window, Item item) {
        try {
            send(window, UsageCountsJson.readSums(item.value()));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("report-unreadable", Field.of("entry", item.key()), Field.of("reason", e.getClass()));
        }
    }

    private void collect(long window, String key) {
        String prefix = COUNTS + window + "/";
        store.list(
                prefix,
                result -> result.fold(
                        listing -> {
                            record(window, key, listing.items());
                            return true;
                        },
                        error -> failed(window, error)));
    }

    private void record(long window, String key, List<Item> items) {
        UsageTable table = new UsageTable();
        items.forEach(item -> addRow(table, window, item));
        Map<TeamId, Long> sums = table.sums(window);
        store.commit(
                new Commit(
                        List.of(new RevisionStore.Expected(key, 0)),
                        List.of(new RevisionStore.Put(key, UsageCountsJson.sums(sums), 0)),
                        removals(window, items)),
                result -> result.fold(
                        _revision -> {
                            send(window, sums);
                            return true;
                        },
                        error -> failed(window, error)));
    }

    /** What is summed up is removed with the same write, and so is a report that is long done. */
    private static List<String> removals(long window, List<Item> items) {
        return Stream.concat(
                        Stream.of(REPORTS + (window - REPORTS_KEPT)),
                        items.stream().map(Item::key).limit(MOST_REMOVALS))
                .toList();
    }

    private boolean failed(long window, StoreError error) {
        LOG.warn("usage-not-summed", Field.of("window", window), Field.of("error", error));
        retry(window);
        return false;
    }

    private void send(long window, Map<TeamId, Long> sums) {
        Optional<DutyDesk.Claim> claim = lease.claim();
        if (claim.isEmpty()) {
            retry(window);
            return;
        }
        desk.reportUsage(claim.get(), window, sums, outcome -> {
            LOG.info("usage-reported", Field.of("window", window), Field.of("outcome", outcome));
            if (outcome == DutyDesk.Outcome.DONE) {
                windows.put(window, State.SENT);
            } else {
                if (outcome == DutyDesk.Outcome.REFUSED) {
                    lease.onFenced();
                }
                retry(window);
            }
        });
    }

    private static void addRow(UsageTable table, long window, Item item) {
        try {
            UsageCountsJson.readRow(item.value())
                    .forEach((counter, counts) -> table.onTold(counter, List.of(new WindowCounts(window, counts))));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("usage-unreadable", Field.of("entry", item.key()), Field.of("reason", e.getClass()));
        }
    }
}
