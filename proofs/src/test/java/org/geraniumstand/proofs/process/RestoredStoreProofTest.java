package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertAll;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumstand.proofs.process.RelayStore.UsageReport;
import org.junit.jupiter.api.Test;

/** Checks that a window whose usage was reported is not reported with other counts after the store lost its record. */
final class RestoredStoreProofTest {
    private static final long SEED = 4703;
    private static final int PROCESSES = 3;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int SLOTS = 32;
    private static final long WINDOW_MILLIS = 5_000;

    /** Time after the end of a window at which a drill begins, in milliseconds; its usage has just been reported. */
    private static final long REPORTED_MILLIS = 2_900;

    /** Time after the end of a window at which the report of the next window has arrived, in milliseconds. */
    private static final long NEXT_REPORTED_MILLIS = 9_000;

    /** Time after the end of a window at which killed processes have reported windows again, in milliseconds. */
    private static final long RESTARTED_MILLIS = 13_000;

    private static final double TOLERANCE = 0.05;
    private static final String KEY_HEADER = "Authorization: Token key-of-shops\r\n";

    private final Random random = new Random(SEED);
    private final Map<Long, AtomicLong> runsByWindow = new ConcurrentHashMap<>();
    private final Set<Long> windowsWithKilledProcesses = new TreeSet<>();
    private final List<Long> drillEndWindows = new ArrayList<>();
    private final AtomicBoolean stopped = new AtomicBoolean();

    @Test
    void windowIsNotReportedTwiceAfterTheStoreIsRestored() throws InterruptedException {
        ExecutorService callers = Executors.newFixedThreadPool(PROCESSES);
        try (RelayCluster cluster = new RelayCluster(PROCESSES)) {
            cluster.configure(RelayConfigurations.builder()
                    .route("lookups", "desk", "safe", false, 2, DEADLINE_MILLIS)
                    .service("desk")
                    .tenant("shops", "key-of-shops")
                    .build());
            IntStream.range(0, 2).forEach(_i -> cluster.addServer("desk", SLOTS, this::serve));
            cluster.startProcesses();
            IntStream.range(0, PROCESSES).forEach(i -> callers.execute(() -> sendCalls(cluster, i)));
            long firstWindow = window() + 1;
            Conditions.pause(WINDOW_MILLIS);
            restoreWhileProcessesLive(cluster);
            restoreWhileLeaderIsFrozen(cluster);
            restoreTwice(cluster);
            restoreWhileAllAreKilled(cluster);
            stopped.set(true);
            List<UsageReport> reports = cluster.store().usageReports();
            print(firstWindow, reports);
            assertAll(
                    () -> assertThat("windows reported with different counts", reportedTwice(reports), is(empty())),
                    () -> assertThat("fencing tokens of two holders", sharedTokens(reports), is(empty())),
                    () -> assertThat("counts that are off", wrongCounts(firstWindow, reports), is(empty())),
                    () -> assertThat("drills without a report after them", drillsWithoutReport(reports), is(empty())),
                    () -> assertThat("the run has reports", reports.size(), is(greaterThan(4))));
        } finally {
            stopped.set(true);
            callers.shutdownNow();
        }
    }

    private void restoreWhileProcessesLive(RelayCluster cluster) {
        long end = awaitReported();
        restore(cluster, 800 + random.nextInt(700), 3_500 + random.nextInt(1_500));
        pauseUntil(end + NEXT_REPORTED_MILLIS);
    }

    private void restoreWhileLeaderIsFrozen(RelayCluster cluster) {
        long end = awaitReported();
        List<UsageReport> reports = cluster.store().usageReports();
        String leader = reports.get(reports.size() - 1).holder();
        RelayHost frozen = IntStream.range(0, PROCESSES)
                .mapToObj(cluster::process)
                .filter(host -> host.address().name().equals(leader))
                .findFirst()
                .orElseThrow();
        frozen.freeze();
        restore(cluster, 600 + random.nextInt(400), 3_500 + random.nextInt(1_500));
        pauseUntil(end + REPORTED_MILLIS + 3_000);
        frozen.resume();
        pauseUntil(end + NEXT_REPORTED_MILLIS);
    }

    private void restoreTwice(RelayCluster cluster) {
        long end = awaitReported();
        restore(cluster, 500 + random.nextInt(200), 3_500 + random.nextInt(1_500));
        Conditions.pause(1_000);
        restore(cluster, 500 + random.nextInt(200), 3_000 + random.nextInt(2_500));
        pauseUntil(end + NEXT_REPORTED_MILLIS + 2_000);
    }

    private void restoreWhileAllAreKilled(RelayCluster cluster) throws InterruptedException {
        long end = awaitReported();
        long killedWindow = window();
        Thread kills = new Thread(() -> {
            Conditions.pause(100);
            IntStream.range(0, PROCESSES).forEach(i -> cluster.process(i).kill());
        });
        kills.start();
        restore(cluster, 1_000 + random.nextInt(300), 3_500 + random.nextInt(1_500));
        kills.join();
        IntStream.range(0, PROCESSES).forEach(cluster::startProcess);
        IntStream.range(0, PROCESSES).forEach(cluster::awaitReady);
        for (long window = killedWindow; window <= window(); window++) {
            windowsWithKilledProcesses.add(window);
        }
        pauseUntil(end + RESTARTED_MILLIS);
    }

    private void restore(RelayCluster cluster, long awayMillis, long ageMillis) {
        cluster.store().restore(awayMillis, ageMillis);
        drillEndWindows.add(window());
    }

    /** Waits until the usage of a window has just been reported, and returns the end of that window. */
    private static long awaitReported() {
        long end = (Math.floorDiv(System.currentTimeMillis() - REPORTED_MILLIS, WINDOW_MILLIS) + 1) * WINDOW_MILLIS;
        pauseUntil(end + REPORTED_MILLIS);
        return end;
    }

    private static void pauseUntil(long epochMillis) {
        Conditions.pause(Math.max(0, epochMillis - System.currentTimeMillis()));
    }

    private static long window() {
        return Math.floorDiv(System.currentTimeMillis(), WINDOW_MILLIS);
    }

    private void serve(HttpMessage request, ScriptedServer.Connection connection) throws IOException {
        String attempt = request.header("Attempt-Id");
        if (!attempt.isEmpty()) {
            runsByWindow.computeIfAbsent(window(), _window -> new AtomicLong()).incrementAndGet();
        }
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: s." + connection.serverId()
                + "\r\nContent-Length: 2\r\n\r\nok");
    }

    private void sendCalls(RelayCluster cluster, int process) {
        try (RelayCaller caller = cluster.caller(process)) {
            for (int i = 0; !stopped.get(); i++) {
                caller.call("GET", "/lookups/1", process + "-" + i, DEADLINE_MILLIS, KEY_HEADER);
                Conditions.pause(40);
            }
        }
    }

    private static List<String> reportedTwice(List<UsageReport> reports) {
        return byWindow(reports).entrySet().stream()
                .filter(entry -> entry.getValue().stream()
                                .map(UsageReport::counts)
                                .distinct()
                                .count()
                        > 1)
                .map(entry -> entry.getKey() + ": " + entry.getValue())
                .toList();
    }

    private static List<String> sharedTokens(List<UsageReport> reports) {
        Map<Long, Set<String>> holders = reports.stream()
                .collect(Collectors.groupingBy(
                        UsageReport::fence, Collectors.mapping(UsageReport::holder, Collectors.toSet())));
        return holders.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .map(Object::toString)
                .toList();
    }

    private List<String> wrongCounts(long firstWindow, List<UsageReport> reports) {
        return reports.stream()
                .filter(report ->
                        report.window() >= firstWindow && !windowsWithKilledProcesses.contains(report.window()))
                .filter(report ->
                        Math.abs(report.requests() - runs(report.window())) > TOLERANCE * runs(report.window()))
                .map(report -> report + " of " + runs(report.window()))
                .toList();
    }

    private long runs(long window) {
        return runsByWindow.getOrDefault(window, new AtomicLong()).get();
    }

    private List<Long> drillsWithoutReport(List<UsageReport> reports) {
        Set<Long> reported = new HashSet<>(byWindow(reports).keySet());
        return drillEndWindows.stream()
                .filter(window -> !reported.contains(window) && !reported.contains(window + 1))
                .toList();
    }

    private static Map<Long, List<UsageReport>> byWindow(List<UsageReport> reports) {
        return reports.stream().collect(Collectors.groupingBy(UsageReport::window, TreeMap::new, Collectors.toList()));
    }

    @SuppressWarnings("SystemOut")
    private void print(long firstWindow, List<UsageReport> reports) {
        Map<Long, List<UsageReport>> reported = byWindow(reports);
        List<Long> missing = new TreeSet<>(runsByWindow.keySet())
                .stream()
                        .filter(window ->
                                window >= firstWindow && window < window() - 1 && !reported.containsKey(window))
                        .toList();
        System.out.printf(
                Locale.ROOT,
                "proof=restored-store seed=%d reports=%d windows=%d drills=%d twice=%d shared-tokens=%d off=%d missing=%s%n",
                SEED,
                reports.size(),
                reported.size(),
                drillEndWindows.size(),
                reportedTwice(reports).size(),
                sharedTokens(reports).size(),
                wrongCounts(firstWindow, reports).size(),
                missing);
    }
}
