package org.geraniumstand.entry.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.geraniumstand.decisions.relay.TrueTime;
import org.geraniumstand.decisions.relay.UsageBook;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.DutyDesk;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.log.Log;

/**
 * Writes this process's counts of each window to the store and, while it holds the duty, reports their sums.
 *
 * <p>The sums of a window are written to the store under a condition before they are sent, so that no two processes
 * ever send different ones.
 */
final class UsageTask {
    private static final Log LOG = Log.of(UsageTask.class);
    private static final String COUNTS = "geraniumstand/usage/";
    private static final String REPORTS = "geraniumstand/report/";
    private static final TypeReference<Map<String, Long>> TABLE = new TypeReference<>() {};

    /** Milliseconds between looks at the clock. */
    private static final long TICK_MILLIS = 250;

    /** Milliseconds after a window's end when the counts are written; requests told late are in by then. */
    private static final long WRITE_AFTER_MILLIS = 300;

    /** Milliseconds after a window's end when its counts are summed up, so that all processes have written theirs. */
    private static final long SUM_AFTER_MILLIS = 1_800;

    /** Windows whose reports are kept; all that may still be due. */
    private static final int REPORTS_KEPT = 20;

    /** Entries removed with one write; the store takes 32 changes in all. */
    private static final int MOST_REMOVALS = 28;

    private final RevisionStore store;
    private final DutyDesk desk;
    private final DutyLease lease;
    private final Timer timer;
    private final String process;
    private final UsageBook book;
    private final TrueTime time = new TrueTime();
    private final long lateMillis;
    private final TreeMap<Long, State> windows = new TreeMap<>();
    private long firstWindow = -1;

    /** How far the report of a window has come. */
    private enum State {
        SUMMING,
        SENT
    }

    UsageTask(
            RevisionStore store,
            DutyDesk desk,
            DutyLease lease,
            Timer timer,
            String process,
            UsageBook book,
            long lateMillis) {
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

    /** Counts a request that began to run. */
    void onBegan(TeamId team) {
        book.onBegan(team, now());
    }

    /** Writes the counts so far, as this process ends. */
    void flush() {
        book.takeBefore(Long.MAX_VALUE).forEach(this::write);
    }

    private long now() {
        return time.read(new Moment(System.nanoTime(), System.currentTimeMillis()));
    }

    private void tick() {
        timer.after(this::tick, TICK_MILLIS);
        long now = now();
        book.takeBefore(book.windowOf(now - WRITE_AFTER_MILLIS)).forEach(this::write);
        if (lease.claim().isPresent()) {
            report(now);
        }
    }

    private void write(UsageBook.Ended ended) {
        String key = COUNTS + ended.window() + "/" + process;
        store.commit(Commit.put(key, text(ended.counts()), 0), result -> {
            if (result.error().isPresent()) {
                LOG.warn(
                        "usage-not-written",
                        Field.of("window", ended.window()),
                        Field.of("error", result.error().get()));
                // Writing the same counts again is harmless; those of a window are written once they are complete.
                timer.after(() -> rewrite(ended), TICK_MILLIS);
            }
        });
    }

    private void rewrite(UsageBook.Ended ended) {
        if (now() < (ended.window() + 1) * book.windowMillis() + lateMillis) {
            write(ended);
        }
    }

    private void report(long now) {
        long newest = book.windowOf(now - SUM_AFTER_MILLIS) - 1;
        long oldest = Math.max(firstWindow - 1, book.windowOf(now - lateMillis));
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
                                send(window, parse(item.get()));
                            } else {
                                collect(window, key);
                            }
                            return true;
                        },
                        error -> failed(window, error)));
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

    private static Map<TeamId, Long> total(List<Item> items) {
        Map<TeamId, Long> sums = new TreeMap<>();
        for (Item item : items) {
            parse(item).forEach((team, count) -> sums.merge(team, count, Long::sum));
        }
        return sums;
    }

    private void record(long window, String key, List<Item> items) {
        Map<TeamId, Long> sums = total(items);
        store.commit(
                new Commit(
                        List.of(new RevisionStore.Expected(key, 0)),
                        List.of(new RevisionStore.Put(key, text(sums), 0)),
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

    private static String text(Map<TeamId, Long> counts) {
        Map<String, Long> table = new TreeMap<>();
        counts.forEach((team, count) -> table.put(team.value(), count));
        return Json.write(table);
    }

    private static Map<TeamId, Long> parse(Item item) {
        Map<TeamId, Long> counts = new HashMap<>();
        try {
            Json.LENIENT.readValue(item.value(), TABLE).forEach((team, count) -> counts.put(new TeamId(team), count));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOG.warn("usage-unreadable", Field.of("entry", item.key()), Field.of("reason", e.getClass()));
        }
        return counts;
    }
}
