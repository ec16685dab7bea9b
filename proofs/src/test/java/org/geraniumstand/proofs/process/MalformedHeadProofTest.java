package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertAll;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks that no caller gets an answer whose head its server spoilt, and that all sound answers are still served. */
final class MalformedHeadProofTest {
    private static final long SEED = 6301;
    private static final int PROCESSES = 2;
    private static final int SERVERS = 2;
    private static final int CALLERS_PER_PROCESS = 8;
    private static final int SLOTS = 32;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final long CALM_MILLIS = 2_000;
    private static final long RUN_MILLIS = 12_000;
    private static final int EVENTS = 4;
    private static final double MALFORMED = 0.35;

    /** Share of malformed answers to streams that may be resumed; it is smaller, so that retries are left for resumed runs. */
    private static final double MALFORMED_FIRST = 0.05;

    private static final double BROKEN_OFF = 0.2;
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9a-z-]+");
    private static final String STREAM_HEADERS =
            "Model: m\r\nToken-Count: 60,8\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:20\r\n";

    private static final List<String> MALFORMED_LINES = List.of(
            "X Note: a",
            "X-Note : a",
            "X-Note\t: a",
            "X-\u0001Note: a",
            "X-\0Note: a",
            "X-Note\u007f: a",
            "X(Note): a",
            "X-Note",
            ": a",
            "X-No\rte: a",
            "X-No\nte: a",
            "X-No\n\nte: a",
            "X-No\rContent-Length: 9",
            "X Content-Length: 9",
            "Content-Length\u0001: 73",
            "Content-Length : 73",
            "Transfer-Encoding\u0002: chunked",
            "Transfer-Encoding\t: chunked",
            "Replica-Seal : s.other",
            "Attempt-Id : other",
            "X-Note: a\0b");

    private static final List<String> SOUND_LINES = List.of(
            "!#$%&'*+-.^_`|~: a",
            "X-Sound:", "X-Sound:a", "X-Sound: a\r\n b", "X-Sound: a\tb", "X-Sound: \u00e4\u00ff");

    private final Queue<RelayCaller.Answer> answers = new ConcurrentLinkedQueue<>();
    private final Map<String, Queue<Run>> runs = new ConcurrentHashMap<>();
    private final long startNanos = System.nanoTime();

    private enum Kind {
        ORDER("orders", "desk", 1),
        LOOKUP("lookups", "desk", 2),
        STREAM("streams", "model", 1),
        RESUMABLE("resumables", "model", 2);

        private final String route;
        private final String service;
        private final int maxAttempts;

        Kind(String route, String service, int maxAttempts) {
            this.route = route;
            this.service = service;
            this.maxAttempts = maxAttempts;
        }

        private static Kind ofAttempt(String attempt) {
            return valueOf(attempt.substring(0, attempt.indexOf('-')));
        }

        private boolean stream() {
            return service.equals("model");
        }
    }

    /** The run of a request at a server, with the status that it answered. */
    private record Run(String server, int status, boolean malformed, boolean brokenOff, int from) {
        private boolean whole() {
            return !malformed && !brokenOff;
        }
    }

    @Test
    void noCallerGetsAMalformedAnswer() {
        try (RelayCluster cluster = new RelayCluster(PROCESSES)) {
            RelayConfigurations configuration =
                    RelayConfigurations.builder().service("desk").modelService("model");
            for (Kind kind : Kind.values()) {
                String form = kind == Kind.ORDER ? "unsafe" : kind == Kind.LOOKUP ? "safe" : "streaming";
                boolean resumable = kind == Kind.RESUMABLE;
                configuration.route(kind.route, kind.service, form, resumable, kind.maxAttempts, DEADLINE_MILLIS);
            }
            cluster.configure(configuration.build());
            for (int i = 0; i < SERVERS; i++) {
                cluster.addServer("desk", SLOTS, this::serve);
                cluster.addServer("model", SLOTS, this::serve);
            }
            cluster.startProcesses();
            sendCalls(cluster);
            print();
            assertAll(
                    () -> assertThat("malformed answers", count(Run::malformed), is(greaterThan(300L))),
                    () -> assertThat("malformed resumed runs", malformedResumes(), is(greaterThan(10L))),
                    () -> assertThat("wrong answers", wrongAnswers(), is(empty())),
                    () -> assertThat("calls repeated after a malformed answer", wronglyRepeated(), is(empty())),
                    () -> assertThat("sound answers that were not served", soundNotServed(), is(empty())));
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
        String lastEvent = request.header("Last-Event-Id");
        int from = lastEvent.isEmpty() ? 1 : Integer.parseInt(lastEvent) + 1;
        Queue<Run> earlier = runs.computeIfAbsent(attempt, _attempt -> new ConcurrentLinkedQueue<>());
        SplittableRandom random = new SplittableRandom(Objects.hash(SEED, attempt, earlier.size()));
        boolean trouble = System.nanoTime() - startNanos > CALM_MILLIS * 1_000_000 && !answers.isEmpty();
        Kind kind = Kind.ofAttempt(attempt);
        boolean malformed =
                trouble && random.nextDouble() < (kind == Kind.RESUMABLE && from == 1 ? MALFORMED_FIRST : MALFORMED);
        boolean stream = kind.stream();
        boolean brokenOff = trouble && stream && from == 1 && random.nextDouble() < BROKEN_OFF;
        int status = malformed && random.nextInt(4) == 0 ? 500 + 3 * random.nextInt(2) : 200;
        earlier.add(new Run(connection.serverId(), status, malformed, brokenOff, from));
        Thread.sleep(random.nextInt(20));
        String line = malformed
                ? MALFORMED_LINES.get(random.nextInt(MALFORMED_LINES.size()))
                : SOUND_LINES.get(random.nextInt(SOUND_LINES.size()));
        connection.write(head(attempt, connection.serverId(), status, line, random));
        if (stream && status == 200) {
            writeEvents(attempt, from, brokenOff, connection);
        } else {
            connection.write("Content-Length: " + attempt.length() + "\r\n\r\n" + attempt);
        }
    }

    /** Returns a head that holds the line somewhere and is not at its end. */
    private static String head(String attempt, String server, int status, String line, SplittableRandom random) {
        List<String> lines = new ArrayList<>(List.of("Attempt-Id: " + attempt, "Replica-Seal: s." + server));
        if (status == 503) {
            lines.add("Not-Executed: 1");
        }
        lines.add(random.nextInt(lines.size() + 1), line);
        return "HTTP/1.1 " + status + " X\r\n" + String.join("\r\n", lines) + "\r\n";
    }

    private static void writeEvents(String attempt, int from, boolean brokenOff, ScriptedServer.Connection connection)
            throws IOException, InterruptedException {
        connection.write("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = from; i <= (brokenOff ? EVENTS / 2 : EVENTS); i++) {
            String event = event(attempt, i);
            connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(2);
        }
        if (brokenOff) {
            connection.reset();
            return;
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
                        answers.add(caller.call(
                                kind == Kind.LOOKUP ? "GET" : "POST",
                                '/' + kind.route + "/1",
                                attempt,
                                DEADLINE_MILLIS,
                                kind.stream() ? STREAM_HEADERS : ""));
                        calls++;
                        Conditions.pause(5 + random.nextInt(20));
                    }
                }
                return calls;
            });
        }
        Traffic.callConcurrently(callers);
    }

    private Queue<Run> runsOf(RelayCaller.Answer answer) {
        return runs.getOrDefault(answer.attempt(), new ConcurrentLinkedQueue<>());
    }

    private long count(Predicate<Run> wanted) {
        return runs.values().stream().flatMap(Queue::stream).filter(wanted).count();
    }

    private long malformedResumes() {
        return count(run -> run.malformed() && run.from() > 1);
    }

    private List<String> wrongAnswers() {
        return answers.stream()
                .filter(answer -> !rightHead(answer) || !rightBody(answer))
                .map(MalformedHeadProofTest::printed)
                .toList();
    }

    private boolean rightHead(RelayCaller.Answer answer) {
        boolean names = answer.headers().keySet().stream()
                .allMatch(name -> TOKEN.matcher(name).matches()
                        && !name.startsWith("x-no")
                        && !name.equals("x")
                        && !name.equals("te"));
        String seal = answer.headers().getOrDefault("replica-seal", "");
        boolean sealed = runsOf(answer).stream()
                .anyMatch(run -> !run.malformed()
                        && seal.equals("s." + run.server())
                        && (answer.status() == run.status() || answer.status() == 0));
        return names && (seal.isEmpty() ? answer.status() != 200 : sealed);
    }

    private static boolean rightBody(RelayCaller.Answer answer) {
        String whole = wholeBody(answer.attempt());
        return switch (answer.status()) {
            case 200 -> answer.body().equals(whole);
            case 0 -> whole.startsWith(answer.body());
            default -> true;
        };
    }

    /** Returns the calls that may run once only and ran again. */
    private List<String> wronglyRepeated() {
        return runs.entrySet().stream()
                .filter(entry -> Kind.ofAttempt(entry.getKey()).maxAttempts == 1
                        && entry.getValue().size() > 1)
                .map(entry -> entry.getKey() + " ran " + entry.getValue())
                .toList();
    }

    /** Returns the calls whose last run was answered soundly and to its end. */
    private List<String> soundNotServed() {
        return answers.stream()
                .filter(answer -> answer.status() != 200 && !runsOf(answer).isEmpty())
                .filter(answer -> runsOf(answer).stream()
                        .reduce((_a, b) -> b)
                        .orElseThrow()
                        .whole())
                .map(MalformedHeadProofTest::printed)
                .toList();
    }

    private static String printed(RelayCaller.Answer answer) {
        return answer.attempt() + " got " + answer.status() + ' ' + answer.headers() + ' ' + answer.body();
    }

    @SuppressWarnings("SystemOut")
    private void print() {
        Map<Integer, Long> statuses = answers.stream()
                .collect(Collectors.groupingBy(RelayCaller.Answer::status, TreeMap::new, Collectors.counting()));
        System.out.printf(
                Locale.ROOT,
                "proof=malformed-head seed=%d calls=%d statuses=%s malformed=%d malformed-resumes=%d wrong=%d repeated=%d"
                        + " sound-not-served=%d%n",
                SEED,
                answers.size(),
                statuses,
                count(Run::malformed),
                malformedResumes(),
                wrongAnswers().size(),
                wronglyRepeated().size(),
                soundNotServed().size());
    }
}
