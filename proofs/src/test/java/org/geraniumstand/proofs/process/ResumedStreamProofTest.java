package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertAll;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks that the numbers of a stream never go back or skip one when a server resumes it elsewhere than at its position. */
final class ResumedStreamProofTest {
    private static final long SEED = 4701;
    private static final int PROCESSES = 2;
    private static final int CALLERS_PER_PROCESS = 20;
    private static final int SERVERS = 4;
    private static final int SLOTS = 64;
    private static final int MAX_ATTEMPTS = 3;
    private static final long RUN_MILLIS = 18_000;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int EVENTS = 12;
    private static final int EVENT_MILLIS = 10;

    /** Calls of one stream by its caller, which resumes it after each that ends early. */
    private static final int MAX_CALLS = 4;

    private static final double BROKEN_RUNS = 0.2;
    private static final double FAULTY_RESUMES = 0.5;

    private static final String HEADERS = "Model: m\r\nToken-Count: 60,12\r\nPrompt-Prefix: 91bd3f06:60\r\n";

    private final Queue<Received> streams = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<Resume, AtomicInteger> resumes = new EnumMap<>(Resume.class);

    /** Position at the first run of each attempt of a caller, in events. */
    private final Map<String, Integer> firstPositions = new ConcurrentHashMap<>();

    private final Queue<String> soundRunsCut = new ConcurrentLinkedQueue<>();

    /** Where a run goes on that is to resume a stream. */
    private enum Resume {
        SOUND,
        ANEW,
        ANEW_AND_SHORT,
        ANEW_WITH_OTHER_TEXT,
        BACK,
        SKIPPED,
        SKIPPED_LATER,
        REPEATED,
        WITHOUT_ID;

        /** Returns the ids that a run sends, zero for none. */
        private List<Integer> ids(int position, SplittableRandom random) {
            List<Integer> ids = new ArrayList<>();
            for (int id = first(position, random); id <= last(position, random); id++) {
                ids.add(this == WITHOUT_ID ? 0 : id);
                if (this == REPEATED) {
                    ids.add(id);
                }
            }
            if (this == SKIPPED_LATER && ids.size() > 2) {
                ids.remove(1);
            }
            return ids;
        }

        private int first(int position, SplittableRandom random) {
            return switch (this) {
                case ANEW, ANEW_AND_SHORT, ANEW_WITH_OTHER_TEXT -> 1;
                case BACK -> 1 + random.nextInt(position);
                case SKIPPED -> Math.min(EVENTS, position + 2 + random.nextInt(3));
                default -> position + 1;
            };
        }

        private int last(int position, SplittableRandom random) {
            return this == ANEW_AND_SHORT && position > 1 ? 1 + random.nextInt(position - 1) : EVENTS;
        }
    }

    /** Holds what the caller of a stream received in all of its calls. */
    private record Received(String name, String body, boolean complete, int calls) {
        private boolean inOrder() {
            return wholeBody(name).startsWith(body);
        }

        private boolean completeTooEarly() {
            return complete && !body.equals(wholeBody(name));
        }
    }

    @Test
    void numbersOfResumedStreamsNeverGoBack() {
        for (Resume resume : Resume.values()) {
            resumes.put(resume, new AtomicInteger());
        }
        try (RelayCluster cluster = new RelayCluster(PROCESSES)) {
            cluster.configure(RelayConfigurations.builder()
                    .route("streams", "model", "streaming", true, MAX_ATTEMPTS, DEADLINE_MILLIS)
                    .modelService("model")
                    .build());
            for (int i = 0; i < SERVERS; i++) {
                cluster.addServer("model", SLOTS, this::serve);
            }
            cluster.startProcesses();
            readStreams(cluster);
            print();
            List<String> outOfOrder =
                    names(streams.stream().filter(s -> !s.inOrder()).toList());
            List<String> completeTooEarly =
                    names(streams.stream().filter(Received::completeTooEarly).toList());
            assertAll(
                    () -> assertThat("faulty resumes", faultyResumes(), is(greaterThan(100))),
                    () -> assertThat("streams out of order", outOfOrder, is(empty())),
                    () -> assertThat("streams that end too early", completeTooEarly, is(empty())),
                    () -> assertThat("sound runs cut", soundRunsCut, is(empty())),
                    () -> assertThat("share of whole streams", wholeShare(), is(greaterThan(0.9))));
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
        String name = request.target().substring(request.target().lastIndexOf('/') + 1);
        int number = runs.computeIfAbsent(name, _name -> new AtomicInteger()).incrementAndGet();
        SplittableRandom random = new SplittableRandom(Objects.hash(SEED, name, number));
        String lastId = request.header("Last-Event-Id");
        int position = lastId.isEmpty() ? 0 : Integer.parseInt(lastId);
        int firstPosition = firstPositions.computeIfAbsent(attempt, _attempt -> position);
        Resume resume = resume(position, firstPosition, random);
        List<Integer> ids = resume.ids(position, random);
        int brokenAt = random.nextDouble() < BROKEN_RUNS ? random.nextInt(EVENTS) : Integer.MAX_VALUE;
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: s." + connection.serverId()
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        int sent = 0;
        for (int id : ids) {
            Thread.sleep(EVENT_MILLIS);
            String event = event(resume == Resume.ANEW_WITH_OTHER_TEXT ? name + " other" : name, id);
            if (sent == brokenAt) {
                String half = event.substring(0, event.length() / 2);
                connection.write(Integer.toHexString(half.length()) + "\r\n" + half + "\r\n");
                throw new IOException("the server breaks off");
            }
            try {
                connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            } catch (IOException e) {
                if (resume == Resume.SOUND && sent > 0) {
                    // A run that began too late has been given up before its first event.
                    soundRunsCut.add(name + " at " + connection.serverId() + " after " + (position + sent));
                }
                throw e;
            }
            sent++;
        }
        connection.write("0\r\n\r\n");
    }

    /** Returns where a run goes on; its text differs only where the process has relayed events that it can compare. */
    private Resume resume(int position, int firstPosition, SplittableRandom random) {
        if (position == 0) {
            return Resume.SOUND;
        }
        Resume resume = random.nextDouble() < FAULTY_RESUMES
                ? Resume.values()[1 + random.nextInt(Resume.values().length - 1)]
                : Resume.SOUND;
        if (resume == Resume.ANEW_WITH_OTHER_TEXT && position == firstPosition) {
            resume = Resume.ANEW;
        }
        resumes.get(resume).incrementAndGet();
        return resume;
    }

    private static String event(String name, int id) {
        return (id == 0 ? "" : "id: " + id + '\n') + "data: " + name + " event " + id + "\n\n";
    }

    private static String wholeBody(String name) {
        return IntStream.rangeClosed(1, EVENTS).mapToObj(id -> event(name, id)).collect(Collectors.joining());
    }

    private void readStreams(RelayCluster cluster) {
        long end = System.nanoTime() + RUN_MILLIS * 1_000_000;
        List<Callable<Integer>> callers = new ArrayList<>();
        for (int i = 0; i < PROCESSES * CALLERS_PER_PROCESS; i++) {
            int number = i;
            callers.add(() -> {
                Random random = new Random(SEED + number);
                int count = 0;
                while (System.nanoTime() - end < 0) {
                    streams.add(read(cluster, number % PROCESSES, "s-" + number + '-' + count));
                    count++;
                    Conditions.pause(20 + random.nextInt(60));
                }
                return count;
            });
        }
        Traffic.callConcurrently(callers);
    }

    private static Received read(RelayCluster cluster, int process, String name) {
        StringBuilder body = new StringBuilder();
        for (int call = 1; call <= MAX_CALLS; call++) {
            String lastId = lastId(body.toString());
            String resume = lastId.isEmpty() ? "" : "Last-Event-Id: " + lastId + "\r\n";
            try (RelayCaller caller = cluster.caller(process)) {
                RelayCaller.Answer answer =
                        caller.call("POST", "/streams/" + name, name + '-' + call, DEADLINE_MILLIS, HEADERS + resume);
                boolean events = answer.status() == 0 || answer.status() == 200;
                body.append(events ? answer.body() : "");
                if (answer.status() == 200) {
                    return new Received(name, body.toString(), true, call);
                }
            }
        }
        return new Received(name, body.toString(), false, MAX_CALLS);
    }

    private static String lastId(String body) {
        int start = body.lastIndexOf("id: ");
        return start < 0 ? "" : body.substring(start + "id: ".length(), body.indexOf('\n', start));
    }

    private int faultyResumes() {
        return resumes.entrySet().stream()
                .filter(entry -> entry.getKey() != Resume.SOUND)
                .mapToInt(entry -> entry.getValue().get())
                .sum();
    }

    private double wholeShare() {
        long whole = streams.stream()
                .filter(s -> s.complete() && s.inOrder() && !s.completeTooEarly())
                .count();
        return whole / (double) streams.size();
    }

    private static List<String> names(List<Received> received) {
        return received.stream()
                .map(s -> s.name() + " got "
                        + s.body()
                                .replaceAll("data: [^\n]*\n\n", "")
                                .replace("id: ", "")
                                .replace('\n', ' '))
                .toList();
    }

    @SuppressWarnings("SystemOut")
    private void print() {
        System.out.printf(
                Locale.ROOT,
                "proof=resumed-stream seed=%d streams=%d whole=%.3f outOfOrder=%d endedEarly=%d callsOfTheMost=%d"
                        + " resumes=%s soundRunsCut=%d%n",
                SEED,
                streams.size(),
                wholeShare(),
                streams.stream().filter(s -> !s.inOrder()).count(),
                streams.stream().filter(Received::completeTooEarly).count(),
                streams.stream().mapToInt(Received::calls).max().orElse(0),
                resumes,
                soundRunsCut.size());
    }
}
