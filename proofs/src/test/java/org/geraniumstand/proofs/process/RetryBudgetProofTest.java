package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertAll;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks that all processes together keep, and use, the retry budget of a service while processes start again. */
final class RetryBudgetProofTest {
    private static final long SEED = 4702;
    private static final int SERVING = 4;
    private static final int CALLERS = 48;
    private static final double CALLS_PER_SECOND = 40;
    private static final double REFUSED = 0.8;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final int SLOTS = 32;

    /** Time after which processes that have started use the whole budget, which takes two windows, and a window after it. */
    private static final long CALM_MILLIS = 37_000;

    private static final long SETTLED_MILLIS = 21_000;
    private static final long FREEZE_MILLIS = 2_500;
    private static final int FREEZES = 3;
    /** Time that a killed process has served. */
    private static final long LIFE_MILLIS = 1_000;

    private static final int KILLS = 6;
    private static final long OVERLAP_MILLIS = 700;
    private static final double LEAST_USE = 0.8;

    private final RetryBudgetOracle oracle = new RetryBudgetOracle();
    private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
    private final AtomicIntegerArray serving =
            new AtomicIntegerArray(IntStream.range(0, SERVING).toArray());
    private final Map<Phase, Long> starts = new EnumMap<>(Phase.class);
    private final Map<Phase, Long> ends = new EnumMap<>(Phase.class);
    private volatile boolean finished;

    private enum Phase {
        CALM,
        FROZEN,
        KILLED,
        ROLLED;

        private String id() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    @Test
    void restartedProcessesDoNotSpendTheRetryBudgetAgain() {
        // Each process of the first half is replaced by one of the second half.
        try (RelayCluster cluster = new RelayCluster(2 * SERVING)) {
            cluster.configure(RelayConfigurations.builder()
                    .route("desk", "desk", "safe", false, 3, DEADLINE_MILLIS)
                    .service("desk")
                    .build());
            for (int i = 0; i < 3; i++) {
                cluster.addServer("desk", SLOTS, this::serve);
            }
            startServing(cluster);
            List<Callable<Integer>> tasks = new ArrayList<>();
            tasks.add(() -> disturb(cluster));
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                tasks.add(() -> sendCalls(cluster, number));
            }
            Traffic.callConcurrently(tasks);
            print();
            assertAll(
                    () -> assertThat("windows beyond the budget", oracle.exceeded(), empty()),
                    () -> assertThat(
                            "share of the budget used in calm", usedInCalm(), greaterThanOrEqualTo(LEAST_USE)));
        }
    }

    private void serve(HttpMessage request, ScriptedServer.Connection connection)
            throws IOException, InterruptedException {
        String attempt = request.header("Attempt-Id");
        String head = "HTTP/1.1 200 OK\r\n";
        if (attempt.isEmpty()) {
            connection.write(head + "Replica-Id: " + connection.serverId() + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        int number = arrivals.computeIfAbsent(attempt, _attempt -> new AtomicInteger())
                .incrementAndGet();
        if (number > 1) {
            oracle.retried(System.nanoTime());
        }
        SplittableRandom random = new SplittableRandom(Objects.hash(SEED, attempt, number));
        Thread.sleep(5);
        connection.write(
                random.nextDouble() < REFUSED
                        ? "HTTP/1.1 503 Refused\r\nAttempt-Id: " + attempt
                                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        : head + "Attempt-Id: " + attempt + "\r\nReplica-Seal: s." + connection.serverId()
                                + "\r\nContent-Length: 2\r\n\r\nok");
    }

    private int disturb(RelayCluster cluster) {
        starts.put(Phase.CALM, System.nanoTime());
        Conditions.pause(CALM_MILLIS);
        begin(Phase.CALM, Phase.FROZEN);
        for (int i = 0; i < FREEZES; i++) {
            cluster.process(i).freeze();
            cluster.process(i + 1).freeze();
            Conditions.pause(FREEZE_MILLIS);
            cluster.process(i).resume();
            cluster.process(i + 1).resume();
            Conditions.pause(FREEZE_MILLIS / 2);
        }
        begin(Phase.FROZEN, Phase.KILLED);
        for (int i = 0; i < KILLS; i++) {
            IntStream.range(0, SERVING)
                    .map(serving::get)
                    .forEach(process -> cluster.process(process).kill());
            startServing(cluster);
            Conditions.pause(LIFE_MILLIS);
        }
        begin(Phase.KILLED, Phase.ROLLED);
        for (int i = 0; i < SERVING; i++) {
            cluster.startProcess(SERVING + i);
            cluster.awaitReady(SERVING + i);
            serving.set(i, SERVING + i);
            Conditions.pause(OVERLAP_MILLIS);
            cluster.process(i).kill();
        }
        ends.put(Phase.ROLLED, System.nanoTime());
        finished = true;
        return 0;
    }

    private void begin(Phase previous, Phase next) {
        long now = System.nanoTime();
        ends.put(previous, now);
        starts.put(next, now);
    }

    private void startServing(RelayCluster cluster) {
        IntStream.range(0, SERVING).map(serving::get).forEach(cluster::startProcess);
        IntStream.range(0, SERVING).map(serving::get).forEach(cluster::awaitReady);
    }

    private int sendCalls(RelayCluster cluster, int number) {
        Random random = new Random(SEED + number);
        int calls = 0;
        while (!finished) {
            int process = serving.get(number % SERVING);
            try (RelayCaller caller = cluster.caller(process)) {
                while (!finished && process == serving.get(number % SERVING)) {
                    oracle.sent(System.nanoTime());
                    caller.call("GET", "/desk/1", number + "-" + calls, DEADLINE_MILLIS, "");
                    calls++;
                    double pause = -Math.log(1 - random.nextDouble()) * CALLERS / CALLS_PER_SECOND;
                    Conditions.pause(Math.round(pause * 1_000));
                }
            }
        }
        return calls;
    }

    private double usedInCalm() {
        long from = starts.get(Phase.CALM) + TimeUnit.MILLISECONDS.toNanos(SETTLED_MILLIS);
        long until = ends.get(Phase.CALM) - TimeUnit.SECONDS.toNanos(RelayHost.RETRY_WINDOW_SECONDS);
        return oracle.windows().stream()
                .filter(window -> window.startNanos() >= from && window.startNanos() < until)
                .mapToDouble(RetryBudgetOracle.Window::used)
                .average()
                .orElse(0);
    }

    /** Returns the window of a phase with the most retries, compared with what was allowed. */
    private Optional<RetryBudgetOracle.Window> worst(Phase phase) {
        long from = starts.get(phase);
        long until = ends.get(phase);
        return oracle.windows().stream()
                .filter(window -> window.startNanos() >= from && window.startNanos() < until)
                .max(Comparator.comparingDouble(RetryBudgetOracle.Window::used));
    }

    @SuppressWarnings("SystemOut")
    private void print() {
        List<String> worst = Set.of(Phase.CALM, Phase.FROZEN, Phase.ROLLED, Phase.KILLED).stream()
                .sorted()
                .map(phase ->
                        phase.id() + ": " + worst(phase).map(Object::toString).orElse("no retries"))
                .toList();
        System.out.printf(
                Locale.ROOT,
                "proof=retry-budget seed=%d processes=%d calls=%d worst-windows=%s used-in-calm=%.2f exceeded=%d%n",
                SEED,
                SERVING,
                arrivals.size(),
                worst,
                usedInCalm(),
                oracle.exceeded().size());
    }
}
