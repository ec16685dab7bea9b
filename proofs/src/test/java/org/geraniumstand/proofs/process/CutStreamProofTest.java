package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertAll;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumstand.proofs.process.VersionedCaller.Kind;
import org.junit.jupiter.api.Test;

/** Checks that no answer that was cut short looks complete to its caller, whatever the caller says about its connection. */
final class CutStreamProofTest {
    private static final long SEED = 5301;
    private static final int PROCESSES = 2;
    private static final int SERVERS = 4;
    private static final int SLOTS = 64;
    private static final int MAX_ATTEMPTS = 2;
    private static final int DEADLINE_MILLIS = 30_000;

    /** Timeout of the routes whose time passes inside an answer. */
    private static final int BRIEF_MILLIS = 1_500;

    private static final int PARTS = 24;
    private static final int PART_MILLIS = 5;

    /** Parts of a held answer that its server sends at once; those of a plain answer exceed 256 kB, so they are relayed. */
    private static final int PARTS_BEFORE_HOLD = 18;

    private static final int SMALL = 120;
    private static final int LARGE = 20_000;

    /** Large enough that an answer does not fit into the buffers of a connection to a slow caller. */
    private static final int HUGE = 200_000;

    private static final int SLOW_BUFFER_BYTES = 16_384;
    private static final int SLOW_AFTER_BYTES = 5_000;
    private static final long LIMIT_SECONDS = 60;

    /** Answers that the message of a failed assertion names. */
    private static final int MAX_NAMES = 10;

    /** Refusals after which a caller gives up; processes that have just started refuse a part of many calls at once. */
    private static final int MAX_REFUSALS = 20;

    private static final int RETRY_MILLIS = 200;

    private static final int SOAK_SEEDS = 3;
    private static final int SOAK_PROCESSES = 3;
    private static final long SOAK_MILLIS = 10_000;
    private static final List<Plan> SOAK_PLANS = List.of(
            Plan.RESET,
            Plan.ENDED_IN_PART,
            Plan.ENDED_BETWEEN_PARTS,
            Plan.RESET_WITHOUT_CHUNKS,
            Plan.ENDED_IN_PART_WITHOUT_CHUNKS);

    private static final List<String> STREAMS = List.of("streams", "resumables");
    private static final List<String> PLAIN = List.of("lookups", "orders");

    private final CountDownLatch delayedGoOn = new CountDownLatch(1);
    private final CountDownLatch heldGoOn = new CountDownLatch(1);
    private final List<Call> calls = new ArrayList<>();

    /** What the server of an answer does. */
    private enum Plan {
        WHOLE,
        /** Waits in the answer until the test lets it go on. */
        DELAYED,
        /** Waits in the answer until the test has ended. */
        HELD,
        RESET,
        ENDED_IN_PART,
        ENDED_BETWEEN_PARTS,
        RESET_WITHOUT_CHUNKS,
        ENDED_IN_PART_WITHOUT_CHUNKS;

        private boolean chunked() {
            return this != RESET_WITHOUT_CHUNKS && this != ENDED_IN_PART_WITHOUT_CHUNKS;
        }

        private boolean breaksOff() {
            return this != WHOLE && this != DELAYED && this != HELD;
        }
    }

    /** An answer to be served; its path tells the server all of it. */
    private record Wanted(String route, Plan plan, int partBytes, String name) {
        static Wanted of(String path) {
            String[] steps = path.split("/", -1);
            return new Wanted(steps[1], Plan.valueOf(steps[2]), Integer.parseInt(steps[3]), steps[4]);
        }

        String path() {
            return "/" + route + '/' + plan + '/' + partBytes + '/' + name;
        }

        boolean stream() {
            return route.endsWith("streams") || route.endsWith("resumables");
        }

        String part(int number) {
            String start = "id: " + number + "\ndata: " + name + " part " + number + ' ';
            return start + "x".repeat(Math.max(0, partBytes - start.length() - 2)) + "\n\n";
        }

        String whole() {
            return IntStream.rangeClosed(1, PARTS).mapToObj(this::part).collect(Collectors.joining());
        }

        /** Returns the part in which the server breaks off; a caller has received parts before. */
        int brokenPart(int position) {
            if (!stream()) {
                return PARTS_BEFORE_HOLD;
            }
            int more = new SplittableRandom(Objects.hash(SEED, name, position)).nextInt(PARTS / 4);
            return Math.min(PARTS, position + 3 + more);
        }
    }

    /** Holds what a caller received of an answer. */
    private record Received(Kind kind, Wanted wanted, VersionedCaller.Answer answer) {
        private boolean begun() {
            return answer.status() == 200;
        }

        private boolean shortened() {
            return !answer.body().equals(wanted.whole());
        }

        private boolean whole() {
            return begun() && answer.looksComplete() && !shortened();
        }

        private boolean cut() {
            return (begun() || answer.status() == 0) && shortened();
        }

        private boolean shownAsCut() {
            return cut() && !answer.looksComplete();
        }

        private boolean looksCompleteTooEarly() {
            return begun() && answer.looksComplete() && shortened();
        }

        private boolean otherBytes() {
            return begun() && !wanted.whole().startsWith(answer.body());
        }

        private boolean refused() {
            return !begun() && answer.status() != 0;
        }
    }

    /** A call in progress. */
    private static final class Call {
        private volatile boolean begun;
        private Future<Received> received;

        private boolean begunOrEnded() {
            return begun || received.isDone();
        }
    }

    @Test
    void wholeAnswersEndInOrderInCalm() {
        try (RelayCluster cluster = start()) {
            List<Wanted> wanted = new ArrayList<>();
            STREAMS.forEach(route -> wanted.addAll(List.of(
                    wanted(route, Plan.WHOLE, SMALL, 1),
                    wanted(route, Plan.WHOLE, LARGE, 2),
                    wanted(route, Plan.WHOLE, SMALL, 3))));
            PLAIN.forEach(route ->
                    wanted.addAll(List.of(wanted(route, Plan.WHOLE, SMALL, 1), wanted(route, Plan.WHOLE, LARGE, 2))));
            List<Received> all = callInTurn(cluster, 2, wanted);
            print("calm", all);
            assertAll(
                    () -> assertNoneLooksCompleteTooEarly(all),
                    () -> assertThat(
                            "answers that began and aren't whole",
                            names(all, r -> r.begun() && !r.whole()),
                            is(empty())),
                    () -> assertThat("whole answers without an orderly end", disorderly(all), is(empty())),
                    () -> assertOfEachKind("whole", all, Received::whole, 2 * PROCESSES * wanted.size() * 9 / 10));
        }
    }

    @Test
    void cutStreamNeverLooksComplete() {
        try (RelayCluster cluster = start()) {
            List<Plan> plans = List.of(
                    Plan.RESET,
                    Plan.WHOLE,
                    Plan.ENDED_IN_PART,
                    Plan.ENDED_BETWEEN_PARTS,
                    Plan.WHOLE,
                    Plan.RESET_WITHOUT_CHUNKS,
                    Plan.ENDED_IN_PART_WITHOUT_CHUNKS,
                    Plan.WHOLE);
            List<Wanted> wanted = new ArrayList<>();
            for (String route : STREAMS) {
                plans.forEach(plan -> wanted.add(wanted(route, plan, SMALL, wanted.size())));
            }
            List<Received> all = callInTurn(cluster, 2, wanted);
            print("streams-broken-off", all);
            assertAll(
                    () -> assertNoneLooksCompleteTooEarly(all),
                    () -> assertOfEachKind("cut", all, Received::cut, 15),
                    () -> assertOfEachKind("whole", all, Received::whole, 8));
        }
    }

    @Test
    void cutPlainAnswerNeverLooksComplete() {
        try (RelayCluster cluster = start()) {
            List<Plan> plans = List.of(
                    Plan.RESET, Plan.WHOLE, Plan.ENDED_IN_PART, Plan.WHOLE, Plan.ENDED_BETWEEN_PARTS, Plan.WHOLE);
            List<Wanted> wanted = new ArrayList<>();
            for (String route : PLAIN) {
                plans.forEach(plan -> wanted.add(wanted(route, plan, LARGE, wanted.size())));
            }
            List<Received> all = callInTurn(cluster, 2, wanted);
            print("plain-broken-off", all);
            assertAll(
                    () -> assertNoneLooksCompleteTooEarly(all),
                    () -> assertOfEachKind("cut", all, Received::cut, 10),
                    () -> assertOfEachKind("whole", all, Received::whole, 8));
        }
    }

    @Test
    void answersOpenAtTheEndOfTheGraceNeverLookComplete() {
        try (RelayCluster cluster = start()) {
            RelayHost stopping = cluster.process(0);
            CountDownLatch ended = new CountDownLatch(1);
            List<Call> before = startOpenCalls(cluster, "before", ended);
            awaitBegun(before);
            stopping.terminate();
            Conditions.await("the process is not ready", () -> !stopping.ready());
            // The process disables kept connections just after it stops being ready.
            Conditions.pause(200);
            List<Call> after = startOpenCalls(cluster, "after", ended);
            awaitBegun(after);
            Conditions.pause(500);
            delayedGoOn.countDown();
            stopping.awaitExit();
            ended.countDown();
            List<Received> all = finish();
            List<Received> late = all.stream()
                    .filter(r -> r.wanted().name().startsWith("after"))
                    .toList();
            print("stop", all);
            print("stop-begun-after-sigterm", late);
            assertAll(
                    () -> assertNoneLooksCompleteTooEarly(all),
                    () -> assertThat(
                            "answers that ended before the grace and aren't whole",
                            names(all, r -> r.wanted().plan() == Plan.DELAYED && r.begun() && !r.whole()),
                            is(empty())),
                    () -> assertOfEachKind("cut", all, Received::cut, 12),
                    () -> assertOfEachKind("cut after SIGTERM", late, Received::cut, 4),
                    () -> assertOfEachKind("whole", all, Received::whole, 2));
        }
    }

    /** Starts calls that are open when the process ends, some of them of slow callers, and some that go on before. */
    private List<Call> startOpenCalls(RelayCluster cluster, String name, CountDownLatch ended) {
        List<Call> started = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (String route : List.of("streams", "resumables", "lookups", "orders")) {
                int bytes = PLAIN.contains(route) ? LARGE : SMALL;
                for (int i = 0; i < 2; i++) {
                    started.add(
                            startCall(cluster, 0, kind, new Wanted(route, Plan.HELD, bytes, name + '-' + kind + i)));
                }
            }
            for (String route : STREAMS) {
                started.add(startCall(cluster, 0, kind, new Wanted(route, Plan.DELAYED, SMALL, name + '-' + kind)));
            }
            started.add(startSlowCall(
                    cluster, 0, kind, new Wanted("streams", Plan.DELAYED, LARGE, name + "-slow-" + kind), delayedGoOn));
            for (Plan plan : List.of(Plan.WHOLE, Plan.HELD)) {
                for (int bytes : List.of(LARGE, HUGE)) {
                    Wanted wanted = new Wanted("streams", plan, bytes, name + "-slow-" + kind);
                    started.add(startSlowCall(cluster, 0, kind, wanted, ended));
                }
            }
        }
        return started;
    }

    @Test
    void answersOfAKilledProcessNeverLookComplete() {
        try (RelayCluster cluster = start()) {
            CountDownLatch ended = new CountDownLatch(1);
            awaitBegun(startOpenCalls(cluster, "open", ended));
            Conditions.pause(300);
            cluster.process(0).kill();
            ended.countDown();
            delayedGoOn.countDown();
            List<Received> all = finish();
            List<Received> plain =
                    all.stream().filter(r -> PLAIN.contains(r.wanted().route())).toList();
            print("kill", all);
            print("kill-plain", plain);
            assertAll(
                    () -> assertNoneLooksCompleteTooEarly(all),
                    () -> assertOfEachKind("cut", all, Received::cut, 8),
                    () -> assertOfEachKind("cut plain", plain, Received::cut, 2));
        }
    }

    @Test
    void answersCutByTheTimeoutNeverLookComplete() {
        try (RelayCluster cluster = start()) {
            for (Kind kind : Kind.values()) {
                for (String route : List.of("brief-streams", "brief-resumables", "brief-lookups", "brief-orders")) {
                    int bytes = route.equals("brief-lookups") || route.equals("brief-orders") ? LARGE : SMALL;
                    for (int i = 0; i < PROCESSES; i++) {
                        startCall(cluster, i, kind, new Wanted(route, Plan.HELD, bytes, kind + "-" + i));
                    }
                }
                for (int i = 0; i < PROCESSES; i++) {
                    startCall(cluster, i, kind, new Wanted("brief-streams", Plan.WHOLE, SMALL, kind + "-" + i));
                }
            }
            List<Received> all = finish();
            print("timeout", all);
            assertAll(
                    () -> assertNoneLooksCompleteTooEarly(all),
                    () -> assertOfEachKind("cut", all, Received::cut, 4),
                    () -> assertOfEachKind("whole", all, Received::whole, 1));
        }
    }

    @Test
    void cutAnswersOfSlowCallersNeverLookComplete() {
        CountDownLatch soon = new CountDownLatch(1);
        CountDownLatch late = new CountDownLatch(1);
        try (RelayCluster cluster = start()) {
            for (Kind kind : Kind.values()) {
                for (int i = 0; i < PROCESSES; i++) {
                    String name = kind + "-" + i;
                    for (int bytes : List.of(LARGE, HUGE)) {
                        startSlowCall(cluster, i, kind, new Wanted("streams", Plan.WHOLE, bytes, name), soon);
                        startSlowCall(cluster, i, kind, new Wanted("brief-streams", Plan.HELD, bytes, name), late);
                        startSlowCall(cluster, i, kind, new Wanted("streams", Plan.ENDED_IN_PART, bytes, name), late);
                    }
                    startSlowCall(cluster, i, kind, new Wanted("orders", Plan.WHOLE, LARGE, name), soon);
                    startSlowCall(cluster, i, kind, new Wanted("streams", Plan.RESET, LARGE, name), late);
                    startSlowCall(cluster, i, kind, new Wanted("streams", Plan.ENDED_BETWEEN_PARTS, LARGE, name), late);
                }
            }
            awaitBegun(calls);
            Conditions.pause(500);
            soon.countDown();
            // A cut answer is flushed for 2 s, and the timeout passes before that.
            Conditions.pause(BRIEF_MILLIS + 2_500);
            late.countDown();
            List<Received> all = finish();
            List<Received> whole =
                    all.stream().filter(r -> r.wanted().plan() == Plan.WHOLE).toList();
            print("slow", all);
            assertAll(
                    () -> assertNoneLooksCompleteTooEarly(all),
                    () -> assertThat(
                            "answers that began and aren't whole",
                            names(whole, r -> r.begun() && !r.whole()),
                            is(empty())),
                    () -> assertThat("whole answers without an orderly end", disorderly(whole), is(empty())),
                    () -> assertOfEachKind("cut", all, Received::cut, 6),
                    () -> assertOfEachKind("whole", whole, Received::whole, 4));
        }
    }

    @Test
    void answersNeverLookCompleteWhileProcessesComeAndGo() {
        for (long seed = 1; seed <= SOAK_SEEDS; seed++) {
            soak(seed);
        }
    }

    /** Runs more seeds by hand, with -Dsoak.seed=FIRST -Dsoak.tries=COUNT. */
    @Test
    void runsSeedsGivenBySystemProperties() {
        long first = Long.getLong("soak.seed", 1);
        for (long seed = first; seed < first + Integer.getInteger("soak.tries", 0); seed++) {
            soak(seed);
        }
    }

    /** Callers keep their connections until these end, while processes are stopped, killed or frozen, also at once. */
    private void soak(long seed) {
        try (RelayCluster cluster = start(SOAK_PROCESSES)) {
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SOAK_MILLIS);
            Queue<Received> notWhole = new ConcurrentLinkedQueue<>();
            AtomicInteger whole = new AtomicInteger();
            List<Callable<Integer>> tasks = new ArrayList<>();
            for (int i = 0; i < SOAK_PROCESSES; i++) {
                int process = i;
                tasks.add(() -> disturb(cluster, process, seed, endNanos));
                for (Kind kind : Kind.values()) {
                    tasks.add(() -> callUntil(endNanos, cluster, process, kind, seed, received -> {
                        if (received.whole()) {
                            whole.incrementAndGet();
                        } else {
                            notWhole.add(received);
                        }
                    }));
                }
            }
            Traffic.callConcurrently(tasks);
            List<Received> cut = List.copyOf(notWhole);
            print("soak-" + seed, cut);
            assertAll(
                    "seed " + seed,
                    () -> assertNoneLooksCompleteTooEarly(cut),
                    () -> assertThat("whole answers", whole.get(), is(greaterThan(0))),
                    () -> assertOfEachKind("cut", cut, Received::cut, 1));
        }
    }

    /** Sends requests on one connection for as long as it lasts, then on the next one; returns their number. */
    private static int callUntil(
            long endNanos, RelayCluster cluster, int process, Kind kind, long seed, Consumer<Received> onReceived) {
        SplittableRandom random = new SplittableRandom(Objects.hash(seed, process, kind.name()));
        int count = 0;
        try (VersionedCaller caller = cluster.caller(process, kind, 0)) {
            while (System.nanoTime() - endNanos < 0) {
                boolean stream = random.nextInt(4) > 0;
                List<String> routes = stream ? STREAMS : PLAIN;
                Plan plan = random.nextBoolean() ? Plan.WHOLE : SOAK_PLANS.get(random.nextInt(SOAK_PLANS.size()));
                // A plain answer that ends with its server's connection can't be told from a whole one.
                Plan own = stream || plan.chunked() ? plan : Plan.WHOLE;
                String name = seed + "-" + process + '-' + kind + '-' + count;
                onReceived.accept(call(
                        caller,
                        kind,
                        new Wanted(routes.get(random.nextInt(routes.size())), own, stream ? SMALL : LARGE, name),
                        _bytes -> {}));
                count++;
                Conditions.pause(random.nextInt(50));
            }
        }
        return count;
    }

    /** Stops, kills or freezes a process again and again, and starts it again; returns how often. */
    private static int disturb(RelayCluster cluster, int process, long seed, long endNanos) {
        SplittableRandom random = new SplittableRandom(Objects.hash(seed, process));
        int count = 0;
        while (System.nanoTime() - endNanos < 0) {
            Conditions.pause(200 + random.nextInt(1_500));
            RelayHost host = cluster.process(process);
            int trouble = random.nextInt(4);
            if (trouble == 0) {
                host.freeze();
                Conditions.pause(random.nextInt(1_500));
                host.resume();
            } else {
                if (trouble > 1) {
                    host.terminate();
                    Conditions.pause(random.nextInt(3_000));
                }
                if (trouble < 3) {
                    host.kill();
                }
                host.awaitExit();
                cluster.startProcess(process);
                cluster.awaitReady(process);
            }
            count++;
        }
        return count;
    }

    private RelayCluster start() {
        return start(PROCESSES);
    }

    private RelayCluster start(int processes) {
        RelayCluster cluster = new RelayCluster(processes);
        cluster.configure(RelayConfigurations.builder()
                .route("streams", "model", "streaming", false, MAX_ATTEMPTS, DEADLINE_MILLIS)
                .route("resumables", "model", "streaming", true, MAX_ATTEMPTS, DEADLINE_MILLIS)
                .route("lookups", "desk", "safe", false, MAX_ATTEMPTS, DEADLINE_MILLIS)
                .route("orders", "desk", "unsafe", false, 1, DEADLINE_MILLIS)
                .route("brief-streams", "model", "streaming", false, MAX_ATTEMPTS, BRIEF_MILLIS)
                .route("brief-resumables", "model", "streaming", true, MAX_ATTEMPTS, BRIEF_MILLIS)
                .route("brief-lookups", "desk", "safe", false, MAX_ATTEMPTS, BRIEF_MILLIS)
                .route("brief-orders", "desk", "unsafe", false, 1, BRIEF_MILLIS)
                .service("desk")
                .modelService("model")
                .build());
        for (int i = 0; i < SERVERS / 2; i++) {
            cluster.addServer("model", SLOTS, this::serve);
            cluster.addServer("desk", SLOTS, this::serve);
        }
        cluster.startProcesses();
        return cluster;
    }

    private void serve(HttpMessage request, ScriptedServer.Connection connection)
            throws IOException, InterruptedException {
        String attempt = request.header("Attempt-Id");
        if (attempt.isEmpty()) {
            connection.write(
                    "HTTP/1.1 200 OK\r\nReplica-Id: " + connection.serverId() + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        Wanted wanted = Wanted.of(request.target());
        Plan plan = wanted.plan();
        String lastId = request.header("Last-Event-Id");
        int position = lastId.isEmpty() ? 0 : Integer.parseInt(lastId);
        int brokenPart = plan.breaksOff() ? wanted.brokenPart(position) : 0;
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: s." + connection.serverId()
                + (wanted.stream() ? "\r\nContent-Type: text/event-stream" : "")
                + (plan.chunked() ? "\r\nTransfer-Encoding: chunked\r\n\r\n" : "\r\nConnection: close\r\n\r\n"));
        for (int number = position + 1; number <= PARTS; number++) {
            if (number == PARTS_BEFORE_HOLD + 1) {
                hold(plan);
            }
            Thread.sleep(PART_MILLIS);
            String part = wanted.part(number);
            if (number == brokenPart) {
                breakOff(plan, part, connection);
            }
            String size = Integer.toHexString(part.length()) + "\r\n";
            connection.write(plan.chunked() ? size + part + "\r\n" : part);
        }
        if (!plan.chunked()) {
            throw new IOException("the answer ends with its connection");
        }
        connection.write("0\r\n\r\n");
    }

    private void hold(Plan plan) throws IOException, InterruptedException {
        if (plan == Plan.DELAYED && !delayedGoOn.await(LIMIT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("the test doesn't go on");
        }
        if (plan == Plan.HELD && !heldGoOn.await(LIMIT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("the test doesn't end");
        }
    }

    private static void breakOff(Plan plan, String part, ScriptedServer.Connection connection) throws IOException {
        String half = part.substring(0, part.length() / 2);
        switch (plan) {
            case RESET, ENDED_IN_PART -> connection.write(Integer.toHexString(part.length()) + "\r\n" + half);
            case RESET_WITHOUT_CHUNKS, ENDED_IN_PART_WITHOUT_CHUNKS -> connection.write(half);
            default -> {}
        }
        if (plan == Plan.RESET || plan == Plan.RESET_WITHOUT_CHUNKS) {
            connection.reset();
        }
        throw new IOException("the server breaks off");
    }

    private static Wanted wanted(String route, Plan plan, int partBytes, int number) {
        return new Wanted(route, plan, partBytes, Integer.toString(number));
    }

    /** Sends the same requests one after another from several callers of each kind at each process. */
    private List<Received> callInTurn(RelayCluster cluster, int callersPerKind, List<Wanted> requests) {
        List<Callable<List<Received>>> callers = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (int i = 0; i < PROCESSES * callersPerKind; i++) {
                int number = i;
                callers.add(() -> {
                    List<Received> received = new ArrayList<>();
                    try (VersionedCaller caller = cluster.caller(number % PROCESSES, kind, 0)) {
                        for (Wanted request : requests) {
                            Wanted own = new Wanted(
                                    request.route(),
                                    request.plan(),
                                    request.partBytes(),
                                    kind + "-" + number + '-' + request.name());
                            received.add(call(caller, kind, own, _bytes -> {}));
                        }
                    }
                    return received;
                });
            }
        }
        return Traffic.callConcurrently(callers).stream().flatMap(List::stream).toList();
    }

    private Call startCall(RelayCluster cluster, int process, Kind kind, Wanted wanted) {
        return startCall(cluster.caller(process, kind, 0), kind, wanted, _bytes -> {});
    }

    /** Starts a call whose caller stops reading early in the answer until it may go on. */
    private Call startSlowCall(RelayCluster cluster, int process, Kind kind, Wanted wanted, CountDownLatch mayGoOn) {
        return startCall(cluster.caller(process, kind, SLOW_BUFFER_BYTES), kind, wanted, bytes -> {
            if (bytes > SLOW_AFTER_BYTES) {
                awaitLatch(mayGoOn);
            }
        });
    }

    private Call startCall(VersionedCaller caller, Kind kind, Wanted wanted, IntConsumer onBody) {
        Call call = new Call();
        ExecutorService thread = Executors.newSingleThreadExecutor();
        call.received = thread.submit(() -> {
            try (caller) {
                Received received = callOnce(caller, call, kind, wanted, onBody);
                for (int i = 0; i < MAX_REFUSALS && received.refused(); i++) {
                    call.begun = false;
                    Conditions.pause(RETRY_MILLIS);
                    received = callOnce(caller, call, kind, wanted, onBody);
                }
                return received;
            }
        });
        thread.shutdown();
        calls.add(call);
        return call;
    }

    private static Received callOnce(VersionedCaller caller, Call call, Kind kind, Wanted wanted, IntConsumer onBody) {
        return call(caller, kind, wanted, bytes -> {
            call.begun = true;
            onBody.accept(bytes);
        });
    }

    private static Received call(VersionedCaller caller, Kind kind, Wanted wanted, IntConsumer onBody) {
        String attempt = wanted.route() + '-' + wanted.plan() + '-' + wanted.partBytes() + '-' + wanted.name();
        String prompt = Integer.toHexString(Objects.hash(SEED, attempt));
        String headers = "Model: m\r\nToken-Count: 60,24\r\nPrompt-Prefix: " + prompt + ":60\r\n";
        return new Received(kind, wanted, caller.call(wanted.path(), attempt, DEADLINE_MILLIS, headers, onBody));
    }

    private static void awaitBegun(List<Call> started) {
        Conditions.await("all answers have begun", () -> started.stream().allMatch(Call::begunOrEnded));
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            if (!latch.await(LIMIT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException("the test doesn't go on");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private List<Received> finish() {
        List<Received> all = new ArrayList<>();
        for (Call call : calls) {
            try {
                all.add(call.received.get(LIMIT_SECONDS, TimeUnit.SECONDS));
            } catch (ExecutionException | TimeoutException e) {
                throw new IllegalStateException("a call failed or did not end", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            }
        }
        heldGoOn.countDown();
        return all;
    }

    private static void assertNoneLooksCompleteTooEarly(List<Received> all) {
        assertAll(
                () -> assertThat(
                        "cut answers that look complete", names(all, Received::looksCompleteTooEarly), is(empty())),
                () -> assertThat("answers with other bytes", names(all, Received::otherBytes), is(empty())),
                () -> assertThat("answers", all.size(), is(greaterThan(0))));
    }

    private static void assertOfEachKind(String what, List<Received> all, Predicate<Received> holds, int minimum) {
        assertAll(Arrays.stream(Kind.values())
                .map(kind -> () -> assertThat(
                        what + " of " + kind,
                        count(all, r -> r.kind() == kind && holds.test(r)),
                        is(greaterThanOrEqualTo(minimum)))));
    }

    private static int count(List<Received> all, Predicate<Received> holds) {
        return (int) all.stream().filter(holds).count();
    }

    private static List<String> disorderly(List<Received> all) {
        return names(all, r -> r.whole() && r.answer().disorderlyEnd());
    }

    private static List<String> names(List<Received> all, Predicate<Received> holds) {
        return all.stream()
                .filter(holds)
                .limit(MAX_NAMES)
                .map(r -> r.wanted().path() + " to " + r.kind() + ": "
                        + r.answer().ending() + " after " + r.answer().body().length() + " of "
                        + PARTS * r.wanted().partBytes())
                .toList();
    }

    @SuppressWarnings("SystemOut")
    private static void print(String name, List<Received> all) {
        String figures = Arrays.stream(Kind.values())
                .map(kind -> {
                    List<Received> own =
                            all.stream().filter(r -> r.kind() == kind).toList();
                    return String.format(
                            Locale.ROOT,
                            "%s[answers=%d whole=%d shownAsCut=%d looksComplete=%d refused=%d disorderly=%d]",
                            kind,
                            own.size(),
                            count(own, Received::whole),
                            count(own, Received::shownAsCut),
                            count(own, Received::looksCompleteTooEarly),
                            count(own, Received::refused),
                            count(own, r -> r.answer().disorderlyEnd()));
                })
                .collect(Collectors.joining(" "));
        System.out.printf(Locale.ROOT, "proof=cut-stream case=%s seed=%d %s%n", name, SEED, figures);
    }
}
