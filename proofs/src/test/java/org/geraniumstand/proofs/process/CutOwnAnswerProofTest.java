package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertAll;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.outside.cloud.HostList.Listing;
import org.geraniumstand.proofs.process.SocketCaller.Answer;
import org.geraniumstand.proofs.process.SocketCaller.End;
import org.geraniumstand.proofs.process.SocketCaller.Kind;
import org.geraniumstand.standins.EngineSwitch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that no answer that was cut short looks complete to its caller, whatever tells the end of the answer. */
@Timeout(120)
final class CutOwnAnswerProofTest {
    private static final long SEED = 5301;
    private static final int OK = 200;
    private static final String STREAM_PATH = "/v1/chat/completions";
    private static final String DONE = "data: [DONE]";
    private static final Pattern EVENT_ID = Pattern.compile("^id: (\\d+)$", Pattern.MULTILINE);
    private static final String STOPPING = "event=process-stopping";

    /** Callers of each kind in each group. */
    private static final int CALLERS = 4;

    /** Cut answers of each kind in each group without which a case shows nothing; a few may be refused before they begin. */
    private static final int MIN_CUT = 2;

    private static final int TOKEN_MILLIS = 100;
    private static final int ENDLESS_TOKENS = 400;
    private static final int PAGE_BYTES = 600 * 1024;
    private static final int PAGE_PARTS = 60;

    private final Random random = new Random(SEED);

    /** Holds callers that are being served, with their answers. */
    private record Group(String name, List<SocketCaller> callers, List<Future<Answer>> answers) {
        static Group start(String name, List<SocketCaller> callers) {
            ExecutorService threads = Executors.newFixedThreadPool(callers.size());
            List<Future<Answer>> answers = callers.stream().map(threads::submit).toList();
            threads.shutdown();
            return new Group(name, callers, answers);
        }

        /** Waits until all answers have begun or ended. */
        Group awaitBegun(Cluster cluster) {
            Conditions.await(
                    name + ": answers begin\n" + cluster.logs(),
                    () -> callers.stream().allMatch(c -> c.done() || lastEventId(c.received()) > 0));
            return this;
        }

        Outcome finish(Predicate<Answer> whole) {
            return new Outcome(name, answers.stream().map(Group::get).toList(), whole);
        }

        private static Answer get(Future<Answer> answer) {
            try {
                return answer.get(Conditions.LIMIT_MILLIS * 2, TimeUnit.MILLISECONDS);
            } catch (ExecutionException | TimeoutException e) {
                throw new IllegalStateException("a caller failed or did not end within 60 s", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            }
        }
    }

    /** Holds the answers of a group and tells the whole ones from those that were cut. */
    private record Outcome(String name, List<Answer> answers, Predicate<Answer> whole) {
        /** Returns the answers that were cut, but look complete. */
        List<Answer> seenAsComplete() {
            return cut().stream().filter(a -> a.end().complete()).toList();
        }

        List<Answer> cut() {
            return begun().stream().filter(whole.negate()).toList();
        }

        List<Answer> wholeButBroken() {
            return begun().stream()
                    .filter(whole)
                    .filter(a -> !a.end().complete())
                    .toList();
        }

        List<Answer> silent() {
            return answers.stream().filter(a -> a.end() == End.SILENT).toList();
        }

        private List<Answer> begun() {
            return answers.stream().filter(a -> a.status() == OK).toList();
        }

        @SuppressWarnings("SystemOut")
        Outcome print() {
            for (Kind kind : Kind.values()) {
                System.out.printf(
                        "%s, %s: %d whole (%d of them broken), %d cut and shown as cut, %d cut and seen as complete, %d not begun%n",
                        name,
                        kind,
                        of(kind, begun()) - of(kind, cut()),
                        of(kind, wholeButBroken()),
                        of(kind, cut()) - of(kind, seenAsComplete()),
                        of(kind, seenAsComplete()),
                        of(kind, answers) - of(kind, begun()));
            }
            return this;
        }

        void assertCutsAreShown() {
            print();
            assertAll(
                    name,
                    () -> assertThat("cut, but seen as complete", seenAsComplete(), is(empty())),
                    () -> assertThat("silent", silent(), is(empty())),
                    () -> {
                        for (Kind kind : Kind.values()) {
                            assertThat("cut answers to " + kind, of(kind, cut()), greaterThanOrEqualTo(MIN_CUT));
                        }
                    });
        }

        void assertAllWhole() {
            print();
            assertAll(
                    name,
                    () -> assertThat("not begun", answers.size() - begun().size(), is(0)),
                    () -> assertThat("cut", cut(), is(empty())),
                    () -> assertThat("whole, but broken", wholeButBroken(), is(empty())));
        }

        private static int of(Kind kind, List<Answer> answers) {
            return (int) answers.stream().filter(a -> a.kind() == kind).count();
        }
    }

    /** Guards against a connection that is reset although the answer is whole. */
    @Test
    void wholeAnswersReachEachKindOfCallerWhole() {
        try (Cluster cluster = Cluster.start(1);
                PageServers _pages = new PageServers(cluster)) {
            EntryHost host = cluster.hosts().get(0);
            Outcome streams = streams(host, "calm streams", 40, 60).finish(CutOwnAnswerProofTest::wholeStream);
            Outcome pages =
                    Group.start("calm pages", pages(host, "GET", "whole")).finish(CutOwnAnswerProofTest::wholePage);
            Outcome orders =
                    Group.start("calm orders", pages(host, "POST", "whole")).finish(CutOwnAnswerProofTest::wholePage);
            assertAll(streams::assertAllWhole, pages::assertAllWhole, orders::assertAllWhole);
        }
    }

    /** Guards against the end of a plain answer without a length that its server cut, which looks complete. */
    @Test
    void plainAnswersThatTheirServerCutsAreShownAsCut() {
        try (Cluster cluster = Cluster.start(1);
                PageServers _pages = new PageServers(cluster)) {
            EntryHost host = cluster.hosts().get(0);
            Group pages = Group.start("cut pages", pages(host, "GET", "cut"));
            Group orders = Group.start("cut orders", pages(host, "POST", "cut"));
            Outcome cutPages = pages.finish(CutOwnAnswerProofTest::wholePage);
            Outcome cutOrders = orders.finish(CutOwnAnswerProofTest::wholePage);
            assertAll(cutPages::assertCutsAreShown, cutOrders::assertCutsAreShown);
        }
    }

    /** Guards against the end of a stream whose engines all broke off, which looks complete. */
    @Test
    void streamsWhoseRetriesAreSpentAreShownAsCut() {
        try (Cluster cluster = Cluster.start(1)) {
            cluster.backends().engines().forEach(e -> e.standin().switches().set(EngineSwitch.CUT_MIDWAY, 1_000));
            streams(cluster.hosts().get(0), "engines break off", 40, 60)
                    .finish(CutOwnAnswerProofTest::wholeStream)
                    .assertCutsAreShown();
        }
    }

    /** Guards against the end of a stream whose deadline passed, which looks complete. */
    @Test
    void streamsWhoseDeadlinePassesAreShownAsCut() {
        // Half of the tokens must fit in the time, or the requests are refused on arrival; all of them take 7 s.
        try (Cluster cluster = Cluster.start(1, 70)) {
            streams(cluster.hosts().get(0), "the deadline passes", 100, 5)
                    .finish(CutOwnAnswerProofTest::wholeStream)
                    .assertCutsAreShown();
        }
    }

    /** Guards against the end of the streams of a killed process, which looks complete. */
    @Test
    void streamsOfAKilledProcessAreShownAsCut() {
        try (Cluster cluster = Cluster.start(1, TOKEN_MILLIS)) {
            EntryHost killed = cluster.hosts().get(0);
            Group streams = endlessStreams(killed, "the process is killed").awaitBegun(cluster);
            Conditions.pause(random.nextInt(500));
            killed.kill();
            streams.finish(CutOwnAnswerProofTest::wholeStream).assertCutsAreShown();
        }
    }

    /** Guards against the end of streams at a stopping process that hands them over, which looks complete. */
    @Test
    void streamsThatAreHandedOverAreShownAsCut() {
        try (Cluster cluster = Cluster.start(2, TOKEN_MILLIS)) {
            EntryHost stopping = cluster.hosts().get(0);
            Group before = endlessStreams(stopping, "handed over, begun before the stop")
                    .awaitBegun(cluster);
            terminate(stopping);
            Group after = endlessStreams(stopping, "handed over, begun in the stop");
            Outcome cutBefore = before.finish(CutOwnAnswerProofTest::wholeStream);
            Outcome cutAfter = after.finish(CutOwnAnswerProofTest::wholeStream);
            assertThat(stopping.log(), containsString("stream-handed-over"));
            assertAll(cutBefore::assertCutsAreShown, cutAfter::assertCutsAreShown);
        }
    }

    /** Guards against streams of a stopping process that end whole as if cut, and cut as if whole, if none takes them. */
    @Test
    void streamsThatNoProcessTakesAreWholeOrShownAsCut() {
        try (Cluster cluster = Cluster.start(1, TOKEN_MILLIS)) {
            EntryHost stopping = cluster.hosts().get(0);
            Group before =
                    endlessStreams(stopping, "not taken, begun before the stop").awaitBegun(cluster);
            terminate(stopping);
            Group after = endlessStreams(stopping, "not taken, begun in the stop");
            Group ending = streams(stopping, "not taken, ending in the stop", 60, 60);
            Conditions.await(
                    "no process takes the streams\n" + cluster.logs(),
                    () -> stopping.log().contains("stream-not-taken"));
            Outcome whole = ending.finish(CutOwnAnswerProofTest::wholeStream);
            stopping.kill();
            Outcome cutBefore = before.finish(CutOwnAnswerProofTest::wholeStream);
            Outcome cutAfter = after.finish(CutOwnAnswerProofTest::wholeStream);
            assertAll(whole::assertAllWhole, cutBefore::assertCutsAreShown, cutAfter::assertCutsAreShown);
        }
    }

    /** Guards against a relayed stream that looks complete after the process that holds it has ended. */
    @Test
    void resumedStreamsWhoseHolderStopsOrIsKilledAreShownAsCut() {
        try (Cluster cluster = Cluster.start(2, TOKEN_MILLIS)) {
            EntryHost first = cluster.hosts().get(0);
            EntryHost holder = cluster.hosts().get(1);
            Group early = endlessStreams(first, "early").awaitBegun(cluster);
            Group late = endlessStreams(first, "late").awaitBegun(cluster);
            first.terminate();
            List<Answer> earlyAnswers =
                    early.finish(CutOwnAnswerProofTest::wholeStream).answers();
            List<Answer> lateAnswers =
                    late.finish(CutOwnAnswerProofTest::wholeStream).answers();
            first.awaitExit();
            EntryHost relay = cluster.replace(first);
            Conditions.await("the relaying process is ready\n" + relay.log(), relay::ready);

            Group resumedBefore = resume(relay, "early", earlyAnswers, "resumed before the holder stops")
                    .awaitBegun(cluster);
            terminate(holder);
            Group resumedAfter = resume(relay, "late", lateAnswers, "resumed while the holder stops")
                    .awaitBegun(cluster);
            Conditions.pause(random.nextInt(500));
            holder.kill();
            Outcome cutBefore = resumedBefore.finish(CutOwnAnswerProofTest::wholeStream);
            Outcome cutAfter = resumedAfter.finish(CutOwnAnswerProofTest::wholeStream);
            assertAll(cutBefore::assertCutsAreShown, cutAfter::assertCutsAreShown);
        }
    }

    private static void terminate(EntryHost host) {
        host.terminate();
        Conditions.await("the process stops", () -> host.log().contains(STOPPING));
    }

    private static Group endlessStreams(EntryHost host, String name) {
        return streams(host, name, ENDLESS_TOKENS, 90);
    }

    private static Group streams(EntryHost host, String name, int tokens, int timeoutSeconds) {
        List<SocketCaller> callers = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (int i = 0; i < CALLERS; i++) {
                callers.add(streamCaller(host, kind, requestId(name, kind, i), "", tokens, timeoutSeconds));
            }
        }
        return Group.start(name, callers);
    }

    /** Resumes the streams of a group, which {@link #streams} started, in the same order. */
    private static Group resume(EntryHost host, String group, List<Answer> answers, String name) {
        List<SocketCaller> callers = new ArrayList<>();
        for (int i = 0; i < answers.size(); i++) {
            Answer answer = answers.get(i);
            String last = "Last-Event-ID: " + lastEventId(answer.body()) + "\r\n";
            callers.add(streamCaller(
                    host, answer.kind(), requestId(group, answer.kind(), i % CALLERS), last, ENDLESS_TOKENS, 90));
        }
        return Group.start(name, callers);
    }

    private static SocketCaller streamCaller(
            EntryHost host, Kind kind, String id, String headers, int tokens, int timeoutSeconds) {
        String body = "{\"stream\":true,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"prompt of " + id + "\"}]}";
        return new SocketCaller(
                host.address().callerPort(),
                kind,
                "POST",
                STREAM_PATH,
                "X-Request-Id: " + id + "\r\nRequest-Timeout: " + timeoutSeconds + "\r\n" + headers,
                body);
    }

    private static String requestId(String group, Kind kind, int number) {
        return group.replaceAll("\\W+", "-") + "-" + kind + "-" + number;
    }

    private static List<SocketCaller> pages(EntryHost host, String method, String name) {
        List<SocketCaller> callers = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (int i = 0; i < CALLERS; i++) {
                callers.add(new SocketCaller(
                        host.address().callerPort(), kind, method, "/orders/" + name + "-" + kind + "-" + i, "", ""));
            }
        }
        return callers;
    }

    private static boolean wholeStream(Answer answer) {
        return answer.body().contains(DONE);
    }

    private static boolean wholePage(Answer answer) {
        return answer.body().length() == PAGE_BYTES;
    }

    private static int lastEventId(String text) {
        int last = 0;
        for (Matcher id = EVENT_ID.matcher(text); id.find(); ) {
            last = Integer.parseInt(id.group(1));
        }
        return last;
    }

    /** Replaces the order desks by servers that answer without a length, and cut the answers whose path asks for it. */
    private static final class PageServers implements AutoCloseable {
        /** Time for which the answers that are cut are held open, so that all of them have begun. */
        private static final long CUT_AFTER_MILLIS = 500;

        private final List<ServerSocket> listeners = new ArrayList<>();

        PageServers(Cluster cluster) {
            Listing listing = cluster.backends().cloud().listing();
            List<BackendServer> servers = new ArrayList<>(listing.servers().stream()
                    .filter(s -> !s.service().equals(TestConfigurations.ORDERS))
                    .toList());
            for (String dataCentre : TestConfigurations.DATA_CENTRES) {
                ServerSocket listener = listen();
                listeners.add(listener);
                startThread(() -> accept(listener));
                servers.add(new BackendServer(
                        new ServerId("pages-" + dataCentre),
                        TestConfigurations.ORDERS,
                        TestConfigurations.OLD_VERSION,
                        new DataCentreId(dataCentre),
                        new HostId("host-pages-" + dataCentre),
                        "gpu-l",
                        false,
                        300,
                        "127.0.0.1",
                        listener.getLocalPort(),
                        false));
            }
            cluster.backends().cloud().setListing(new Listing(servers, listing.notices()));
            int port = cluster.hosts().get(0).address().callerPort();
            Conditions.await(
                    "pages are served\n" + cluster.logs(),
                    () -> wholePage(
                            new SocketCaller(port, Kind.PERSISTENT, "GET", "/orders/whole-first", "", "").call()));
        }

        private static ServerSocket listen() {
            try {
                return new ServerSocket(Ports.free(), 50, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw Ports.failed(e);
            }
        }

        private static void accept(ServerSocket listener) {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    startThread(() -> serve(socket));
                } catch (IOException _e) {
                    return;
                }
            }
        }

        private static void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    String target = HttpMessage.read(in).target();
                    boolean cut = target.contains("cut");
                    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    String part = "x".repeat(PAGE_BYTES / PAGE_PARTS);
                    String chunk = Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
                    for (int i = 0; i < (cut ? PAGE_PARTS - 1 : PAGE_PARTS); i++) {
                        write(socket, chunk);
                    }
                    if (cut) {
                        Conditions.pause(CUT_AFTER_MILLIS);
                        return;
                    }
                    write(socket, "0\r\n\r\n");
                }
            } catch (IOException _e) {
                // The process under test has closed the connection.
            }
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        private static void startThread(Runnable task) {
            Thread thread = new Thread(task, "page-server");
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() {
            for (ServerSocket listener : listeners) {
                try {
                    listener.close();
                } catch (IOException e) {
                    throw Ports.failed(e);
                }
            }
        }
    }
}
