package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertAll;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks that all processes together keep, and use, the request rates that servers name in their answers. */
final class ServerLimitProofTest {
    private static final long SEED = 4402;
    private static final int CALLERS = 48;
    private static final double CALLS_PER_SECOND = 90;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int SLOTS = 32;
    private static final int PROMPTS = 20;
    private static final String EVENT = "id: 1\ndata: a\n\n";

    private static final long WARM_UP_MILLIS = 1_000;
    private static final long USUAL_MILLIS = 5_000;
    private static final long PHASE_MILLIS = 12_000;
    private static final long FAULT_MILLIS = 3_000;
    private static final long FREEZE_MILLIS = 2_500;
    private static final long RECOVERY_MILLIS = 5_000;
    private static final double LEAST_USE = 0.6;
    private static final double LEAST_SHARE = 0.5;

    /** The statuses of answered and of refused calls. */
    private static final Set<Integer> ANSWERS = Set.of(200, 429, 503);

    private final ServerLimitOracle oracle = new ServerLimitOracle();
    private final Map<String, Double> limits = new ConcurrentHashMap<>();
    private final Map<String, String> limitedRuns = new ConcurrentHashMap<>();
    private final Queue<Sent> sent = new ConcurrentLinkedQueue<>();
    private final Map<Service, List<String>> servers = new EnumMap<>(Service.class);
    private volatile boolean finished;
    private long usualStart;
    private long limitStart;
    private long limitEnd;
    private long end;

    /** The services; the only server of the last one names a limit. */
    private enum Service {
        DESK(5, 5),
        MODEL(3, 2),
        SOLO(1, 1);

        private static final int CALL_SHARES = 8;

        private final int serverCount;
        private final int callShare;

        Service(int serverCount, int callShare) {
            this.serverCount = serverCount;
            this.callShare = callShare;
        }

        private static Service draw(Random random) {
            int share = random.nextInt(CALL_SHARES);
            if (share < DESK.callShare) {
                return DESK;
            }
            return share < DESK.callShare + MODEL.callShare ? MODEL : SOLO;
        }

        private String id() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private record Sent(long nanos, int process, Service service, RelayCaller.Answer answer) {
        private long endNanos() {
            return nanos + (long) (answer.millis() * 1e6);
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT, "%s: %d after %.0f ms", answer.attempt(), answer.status(), answer.millis());
        }
    }

    @Test
    void twoProcessesKeepAndUseTheLimitsOfServers() {
        provesLimitsWith(2);
    }

    @Test
    void sevenProcessesKeepAndUseTheLimitsOfServers() {
        provesLimitsWith(7);
    }

    @Test
    void manyProcessesKeepAndUseTheLimitsOfServers() {
        provesLimitsWith(24);
    }

    private void provesLimitsWith(int processes) {
        try (RelayCluster cluster = new RelayCluster(processes)) {
            cluster.configure(RelayConfigurations.builder()
                    .route("desk", "desk", "safe", false, 2, DEADLINE_MILLIS)
                    .route("model", "model", "streaming", true, 2, DEADLINE_MILLIS)
                    .route("solo", "solo", "safe", false, 2, DEADLINE_MILLIS)
                    .service("desk")
                    .modelService("model")
                    .service("solo")
                    .build());
            for (Service service : Service.values()) {
                List<String> ids = new ArrayList<>();
                for (int i = 0; i < service.serverCount; i++) {
                    ids.add(cluster.addServer(service.id(), SLOTS, this::serve).id());
                }
                servers.put(service, ids);
            }
            cluster.startProcesses();
            List<Callable<Integer>> tasks = new ArrayList<>();
            tasks.add(this::changeLimits);
            tasks.add(() -> disrupt(cluster));
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                tasks.add(() -> sendCalls(cluster, number, number % processes));
            }
            Traffic.callConcurrently(tasks);
            print(processes, cluster.connections());
            assertAll(
                    () -> assertThat("limits exceeded", oracle.exceeded(), is(empty())),
                    () -> assertThat("limits not used", notUsed(), is(empty())),
                    () -> assertThat("calls that other servers did not answer", unanswered(), is(empty())),
                    () -> assertThat("calls that were held at a limit", held(), is(empty())),
                    () -> assertThat("servers without their usual share", withoutUsualShare(), is(empty())),
                    () -> assertThat("calls refused after the limits ended", refusedAfterEnd(), is(empty())));
        }
    }

    private void serve(HttpMessage request, ScriptedServer.Connection connection)
            throws IOException, InterruptedException {
        String attempt = request.header("Attempt-Id");
        String server = connection.serverId();
        if (attempt.isEmpty()) {
            connection.write("HTTP/1.1 200 OK\r\nReplica-Id: " + server + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        oracle.arrived(server, Integer.parseInt(attempt.substring(0, attempt.indexOf('-'))));
        Thread.sleep(10);
        Double limit = limits.get(server);
        if (limit != null) {
            limitedRuns.put(attempt, server);
        }
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: s." + server
                + "\r\nContent-Type: text/event-stream\r\n"
                + (limit == null ? "" : "Server-Limit: " + limit + "\r\n")
                + "Content-Length: " + EVENT.length() + "\r\n\r\n" + EVENT);
    }

    private int changeLimits() {
        Conditions.pause(WARM_UP_MILLIS);
        usualStart = System.nanoTime();
        Conditions.pause(USUAL_MILLIS);
        limitStart = System.nanoTime();
        List<String> desks = servers.get(Service.DESK);
        List<String> models = servers.get(Service.MODEL);
        Map<String, Double> unchanged = Map.of(
                desks.get(0), 0.4, models.get(0), 2.2, servers.get(Service.SOLO).get(0), 1.4);
        name(unchanged, Map.of(desks.get(1), 1.4, desks.get(2), 8.0, models.get(1), 1.5));
        name(unchanged, Map.of(desks.get(1), 8.0, desks.get(2), 1.4, models.get(1), 3.0));
        limitEnd = System.nanoTime();
        limits.clear();
        Conditions.pause(RECOVERY_MILLIS + USUAL_MILLIS);
        end = System.nanoTime();
        finished = true;
        return 0;
    }

    private void name(Map<String, Double> unchanged, Map<String, Double> changed) {
        Map<String, Double> named = new TreeMap<>(unchanged);
        named.putAll(changed);
        long start = System.nanoTime();
        limits.putAll(named);
        Conditions.pause(PHASE_MILLIS);
        long phaseEnd = System.nanoTime();
        named.forEach((server, limit) -> oracle.named(server, limit, start, phaseEnd));
    }

    /** Kills one process in the first phase and freezes another one in the second phase. */
    private int disrupt(RelayCluster cluster) {
        Conditions.pause(WARM_UP_MILLIS + USUAL_MILLIS + FAULT_MILLIS);
        long killed = System.nanoTime();
        cluster.process(1).kill();
        cluster.startProcess(1);
        cluster.awaitReady(1);
        oracle.disrupted(1, killed, System.nanoTime());
        // The start may take longer than the phase on a busy machine.
        Conditions.pause(Math.max(0, PHASE_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killed)));
        long frozen = System.nanoTime();
        cluster.process(0).freeze();
        Conditions.pause(FREEZE_MILLIS);
        cluster.process(0).resume();
        oracle.disrupted(0, frozen, System.nanoTime());
        return 0;
    }

    private int sendCalls(RelayCluster cluster, int number, int process) {
        Random random = new Random(SEED + number);
        int calls = 0;
        try (RelayCaller caller = cluster.caller(process)) {
            while (!finished) {
                Service service = Service.draw(random);
                String attempt = process + "-" + number + '-' + calls + '-' + service.id();
                String headers = service == Service.MODEL ? promptHeaders(random, attempt) : "";
                long start = System.nanoTime();
                RelayCaller.Answer answer =
                        caller.call("GET", '/' + service.id() + "/1", attempt, DEADLINE_MILLIS, headers);
                sent.add(new Sent(start, process, service, answer));
                String server = limitedRuns.get(attempt);
                if (server != null && answer.status() == 200) {
                    oracle.passedOn(server, process);
                }
                calls++;
                double pause = -Math.log(1 - random.nextDouble()) * CALLERS / CALLS_PER_SECOND;
                Conditions.pause(Math.round(pause * 1_000));
            }
        }
        return calls;
    }

    private List<String> notUsed() {
        List<String> notUsed = new ArrayList<>();
        oracle.used().forEach((server, share) -> {
            if (share < LEAST_USE) {
                notUsed.add(server + ": " + share);
            }
        });
        return notUsed;
    }

    /** Returns the calls of undisturbed processes without success, although a server of the service names no limit. */
    private List<Sent> unanswered() {
        return sent.stream()
                .filter(s -> s.service() != Service.SOLO && s.answer().status() != 200 && !disrupted(s))
                .toList();
    }

    /** Returns the calls that were neither answered nor refused well before their deadline. */
    private List<Sent> held() {
        return sent.stream()
                .filter(s -> s.service() == Service.SOLO && !disrupted(s))
                .filter(s ->
                        !ANSWERS.contains(s.answer().status()) || s.answer().millis() > DEADLINE_MILLIS / 2.0)
                .toList();
    }

    private List<Sent> refusedAfterEnd() {
        return sent.stream()
                .filter(s -> s.nanos() > limitEnd + RECOVERY_MILLIS * 1_000_000
                        && s.answer().status() != 200)
                .toList();
    }

    private boolean disrupted(Sent call) {
        return oracle.disruptedWithin(call.process(), call.nanos(), call.endNanos());
    }

    /** Returns the servers whose share of the calls is much smaller than before they named a limit. */
    private List<String> withoutUsualShare() {
        List<String> without = new ArrayList<>();
        for (List<String> ids : servers.values()) {
            for (String server : ids) {
                double usual = share(server, ids, usualStart, limitStart);
                double after = share(server, ids, limitEnd + RECOVERY_MILLIS * 1_000_000, end);
                if (after < LEAST_SHARE * usual) {
                    without.add(String.format(Locale.ROOT, "%s: %.2f, before %.2f", server, after, usual));
                }
            }
        }
        return without;
    }

    private double share(String server, List<String> serversOfService, long startNanos, long endNanos) {
        long all = serversOfService.stream()
                .mapToLong(other -> oracle.count(other, startNanos, endNanos))
                .sum();
        return oracle.count(server, startNanos, endNanos) / (double) all;
    }

    private static String promptHeaders(Random random, String attempt) {
        return "Model: m\r\nToken-Count: 60,8\r\nPrompt-Prefix: " + (100 + random.nextInt(PROMPTS)) + ":40,"
                + Integer.toHexString(attempt.hashCode()) + ":20\r\n";
    }

    @SuppressWarnings("SystemOut")
    private void print(int processes, int connections) {
        System.out.printf(
                Locale.ROOT,
                "proof=server-limit seed=%d processes=%d calls=%d exceeded=%s used=%s unanswered=%d held=%d"
                        + " without-usual-share=%s refused-after-end=%d connections=%d%n",
                SEED,
                processes,
                sent.size(),
                oracle.exceeded(),
                new TreeMap<>(oracle.used()),
                unanswered().size(),
                held().size(),
                withoutUsualShare(),
                refusedAfterEnd().size(),
                connections);
    }
}
