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
import java.util.Objects;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Checks that a refusal that a server sends a second time, on a connection on which the refused request is in progress
 * again, is not taken for a second refusal.
 */
final class RepeatedRefusalProofTest {
    private static final long SEED = 4401;
    private static final int PROCESSES = 3;
    private static final int CALLERS_PER_PROCESS = 8;
    private static final long RUN_MILLIS = 25_000;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int SLOTS = 32;

    /** Share of the requests that are refused at their first arrival. */
    private static final double REFUSED_FIRST = 0.1;

    /** Share of the retries that are refused too; it is larger, as the servers of a service are full at the same time. */
    private static final double REFUSED_AGAIN = 0.4;

    private static final double REPEATED_REFUSALS = 0.6;
    private static final int MAX_REPEAT_DELAY_MILLIS = 30;
    private static final int EVENTS = 4;
    private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

    private static final String STREAM_HEADERS =
            "Model: m\r\nToken-Count: 60,8\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:20\r\n";

    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<Sent> sent = new ConcurrentLinkedQueue<>();
    private final Map<String, Queue<String>> runs = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> arrivalCounts = new ConcurrentHashMap<>();
    private final AtomicInteger refusals = new AtomicInteger();
    private final AtomicInteger repeats = new AtomicInteger();

    private enum Kind {
        ORDER("orders", "desk", 1, false),
        LOOKUP("lookups", "desk", 1, true),
        STREAM("streams", "model", 1, false),
        RESUMABLE("resumables", "model", 2, true);

        private final String route;
        private final String service;
        private final int maxAttempts;
        private final boolean idempotent;

        Kind(String route, String service, int maxAttempts, boolean idempotent) {
            this.route = route;
            this.service = service;
            this.maxAttempts = maxAttempts;
            this.idempotent = idempotent;
        }

        private static Kind ofAttempt(String attempt) {
            return valueOf(attempt.substring(0, attempt.indexOf('-')));
        }

        private boolean stream() {
            return service.equals("model");
        }
    }

    private record Arrival(long nanos, String attempt, boolean first) {}

    private record Sent(long nanos, RelayCaller.Answer answer) {
        private Kind kind() {
            return Kind.ofAttempt(answer.attempt());
        }

        private boolean refused() {
            return REFUSALS.contains(answer.status());
        }
    }

    @Test
    void refusalSentTwiceDoesNotRefuseTheNextAttempt() {
        try (RelayCluster cluster = new RelayCluster(PROCESSES)) {
            cluster.configure(RelayConfigurations.builder()
                    .route("orders", "desk", "unsafe", false, Kind.ORDER.maxAttempts, DEADLINE_MILLIS)
                    .route("lookups", "desk", "safe", false, Kind.LOOKUP.maxAttempts, DEADLINE_MILLIS)
                    .route("streams", "model", "streaming", false, Kind.STREAM.maxAttempts, DEADLINE_MILLIS)
                    .route("resumables", "model", "streaming", true, Kind.RESUMABLE.maxAttempts, DEADLINE_MILLIS)
                    .service("desk")
                    .modelService("model")
                    .build());
            for (int i = 0; i < 2; i++) {
                cluster.addServer("desk", SLOTS, this::serve);
                cluster.addServer("model", SLOTS, this::serve);
            }
            cluster.startProcesses();
            sendCalls(cluster);
            print(cluster);
            assertAll(
                    () -> assertThat("the run has repeated refusals", repeats.get(), is(greaterThan(100))),
                    () -> assertThat("unsafe calls that ran twice", ranTwice(), is(empty())),
                    () -> assertThat("unsafe calls refused and run", refusedAndRun(), is(empty())),
                    () -> assertThat("calls run on too many servers", ranOnTooManyServers(), is(empty())),
                    () -> assertThat("retries beyond the budget", retriesBeyondBudget(), is(empty())),
                    () -> assertThat("calls that failed at sound servers", failed(), is(empty())),
                    () -> assertThat("answers that are not the server's", wrongAnswers(), is(empty())),
                    () -> assertThat("share of refused calls that were retried", retriedShare(), is(greaterThan(0.5))));
        }
    }

    private void serve(HttpMessage request, ScriptedServer.Connection connection)
            throws IOException, InterruptedException {
        String attempt = request.header("Attempt-Id");
        if (attempt.isEmpty()) {
            connection.write(
                    "HTTP/1.1 200 OK\r\nReplica-Id: " + connection.serverId() + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        int number = arrivalCounts
                .computeIfAbsent(attempt, _attempt -> new AtomicInteger())
                .incrementAndGet();
        arrivals.add(new Arrival(System.nanoTime(), attempt, number == 1));
        SplittableRandom random = new SplittableRandom(Objects.hash(SEED, attempt, number));
        if (random.nextDouble() < (number == 1 ? REFUSED_FIRST : REFUSED_AGAIN)) {
            refuse(attempt, connection, random);
        } else {
            run(attempt, connection, random);
        }
    }

    private void refuse(String attempt, ScriptedServer.Connection connection, SplittableRandom random)
            throws IOException {
        String refusal = "HTTP/1.1 " + refusalStatus(random) + " Refused\r\nAttempt-Id: " + attempt
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        refusals.incrementAndGet();
        connection.write(refusal);
        if (random.nextDouble() < REPEATED_REFUSALS) {
            repeats.incrementAndGet();
            connection.repeatLater(refusal, random.nextInt(MAX_REPEAT_DELAY_MILLIS + 1));
        }
    }

    private static int refusalStatus(SplittableRandom random) {
        return switch (random.nextInt(10)) {
            case 0 -> 429;
            case 1 -> 408;
            case 2 -> 421;
            default -> 503;
        };
    }

    private void run(String attempt, ScriptedServer.Connection connection, SplittableRandom random)
            throws IOException, InterruptedException {
        runs.computeIfAbsent(attempt, _attempt -> new ConcurrentLinkedQueue<>()).add(connection.serverId());
        Thread.sleep(20 + random.nextInt(40));
        String head =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: s." + connection.serverId() + "\r\n";
        if (!Kind.ofAttempt(attempt).stream()) {
            connection.write(head + "Content-Length: " + attempt.length() + "\r\n\r\n" + attempt);
            return;
        }
        connection.write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= EVENTS; i++) {
            String event = event(attempt, i);
            connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(5);
        }
        connection.write("0\r\n\r\n");
    }

    private static String event(String attempt, int number) {
        return "id: " + number + "\ndata: " + attempt + "\n\n";
    }

    private static String wholeBody(String attempt) {
        if (!Kind.ofAttempt(attempt).stream()) {
            return attempt;
        }
        StringBuilder body = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            body.append(event(attempt, i));
        }
        return body.toString();
    }

    private void sendCalls(RelayCluster cluster) {
        long end = System.nanoTime() + RUN_MILLIS * 1_000_000;
        List<Callable<Integer>> callers = new ArrayList<>();
        for (int i = 0; i < PROCESSES * CALLERS_PER_PROCESS; i++) {
            int number = i;
            callers.add(() -> {
                Random random = new Random(SEED + number);
                int calls = 0;
                try (RelayCaller caller = cluster.caller(number % PROCESSES)) {
                    while (System.nanoTime() - end < 0) {
                        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
                        String attempt = kind + "-" + number + '-' + calls;
                        sent.add(new Sent(System.nanoTime(), send(caller, kind, attempt)));
                        calls++;
                        Conditions.pause(10 + random.nextInt(50));
                    }
                }
                return calls;
            });
        }
        Traffic.callConcurrently(callers);
        // A call that was answered may still run.
        Conditions.pause(DEADLINE_MILLIS);
    }

    private static RelayCaller.Answer send(RelayCaller caller, Kind kind, String attempt) {
        String method = kind == Kind.LOOKUP ? "GET" : "POST";
        return caller.call(
                method, '/' + kind.route + "/1", attempt, DEADLINE_MILLIS, kind.stream() ? STREAM_HEADERS : "");
    }

    private int runCount(String attempt) {
        return runs.containsKey(attempt) ? runs.get(attempt).size() : 0;
    }

    private List<String> ranTwice() {
        return runs.keySet().stream()
                .filter(attempt -> !Kind.ofAttempt(attempt).idempotent && runCount(attempt) > 1)
                .map(attempt -> attempt + " at " + runs.get(attempt))
                .toList();
    }

    private List<String> refusedAndRun() {
        return sent.stream()
                .filter(s -> !s.kind().idempotent
                        && s.refused()
                        && runCount(s.answer().attempt()) > 0)
                .map(s -> s.answer().attempt() + " was answered " + s.answer().status())
                .toList();
    }

    private List<String> ranOnTooManyServers() {
        return runs.keySet().stream()
                .filter(attempt -> new HashSet<>(runs.get(attempt)).size() > Kind.ofAttempt(attempt).maxAttempts)
                .map(attempt -> attempt + " at " + runs.get(attempt))
                .toList();
    }

    /** Returns the windows in which a service received more retries than its requests allow. */
    private List<String> retriesBeyondBudget() {
        List<String> beyond = new ArrayList<>();
        for (String service : List.of("desk", "model")) {
            RetryBudgetOracle oracle = new RetryBudgetOracle();
            sent.stream().filter(s -> s.kind().service.equals(service)).forEach(s -> oracle.sent(s.nanos()));
            arrivals.stream()
                    .filter(a ->
                            !a.first() && Kind.ofAttempt(a.attempt()).service.equals(service))
                    .forEach(a -> oracle.retried(a.nanos()));
            oracle.exceeded().forEach(window -> beyond.add(service + ": " + window));
        }
        return beyond;
    }

    private List<String> failed() {
        return sent.stream()
                .filter(s -> s.answer().status() == 502 || s.answer().status() == 0)
                .map(s -> s.answer().attempt() + " was answered " + s.answer().status())
                .toList();
    }

    private List<String> wrongAnswers() {
        return sent.stream()
                .map(Sent::answer)
                .filter(a -> a.status() == 200 && !a.body().equals(wholeBody(a.attempt())))
                .map(a -> a.attempt() + " got " + a.body())
                .toList();
    }

    /** Returns the share of the calls refused at a server that arrived again. */
    private double retriedShare() {
        List<Integer> arrivalsOfRefused = arrivalCounts.entrySet().stream()
                .filter(entry -> entry.getValue().get() > runCount(entry.getKey()))
                .map(entry -> entry.getValue().get())
                .toList();
        return arrivalsOfRefused.stream().filter(count -> count > 1).count() / (double) arrivalsOfRefused.size();
    }

    @SuppressWarnings("SystemOut")
    private void print(RelayCluster cluster) {
        Map<Integer, Long> statuses = sent.stream()
                .collect(Collectors.groupingBy(s -> s.answer().status(), TreeMap::new, Collectors.counting()));
        System.out.printf(
                Locale.ROOT,
                "proof=repeated-refusal seed=%d calls=%d statuses=%s refusals=%d repeats=%d retries=%d connections=%d"
                        + " twice=%d refused-and-run=%d too-many-servers=%d over-budget=%d failed=%d wrong=%d"
                        + " retried-share=%.2f%n",
                SEED,
                sent.size(),
                statuses,
                refusals.get(),
                repeats.get(),
                arrivals.stream().filter(a -> !a.first()).count(),
                cluster.connections(),
                ranTwice().size(),
                refusedAndRun().size(),
                ranOnTooManyServers().size(),
                retriesBeyondBudget().size(),
                failed().size(),
                wrongAnswers().size(),
                retriedShare());
    }
}
