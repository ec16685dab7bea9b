package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.decisions.relay.RelayBounds;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.CallerLimits;
import org.geraniumstand.model.relay.RelayPlan;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServiceShare;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

final class OpaqueListenerTest {
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final DataCentreId HERE = new DataCentreId("here");

    /** Slots with which a server takes nothing, its queue included. */
    private static final int NO_ROOM = -6;

    /** Bytes of a part of an answer without end, of all that a server would write, and that may be taken of it. */
    private static final int PART_BYTES = 64 * 1024;

    private static final long GIVE_UP_BYTES = 64 * 1024 * 1024;

    /** The limit of a megabyte and what sockets on loopback hold. */
    private static final long MOST_TAKEN_BYTES = 16 * 1024 * 1024;

    private static final String OURS = "attempt: a-1\r\nsigned: yes\r\n";
    private static final String HEAD = "attempt: a-1\r\nkey: right\r\nwait: 1500\r\n";

    private XnioWorker worker;
    private OpaqueListener listener;
    private final AtomicReference<Runnable> beforeSend = new AtomicReference<>(() -> {});
    private final ListObserver observer = new ListObserver();
    private RelayDispatcher desk;
    private int port;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        desk = new RelayDispatcher(HERE, new RelayBounds(1, 50, 10_000, 0, 0, 1), new Random(1), System.nanoTime());
        port = freePort();
        listener = OpaqueListener.start(new OpaqueListener.Setup(
                InetSocketAddress.createUnresolved("127.0.0.1", port),
                InetSocketAddress.createUnresolved("127.0.0.1", freePort()),
                worker,
                new DefaultByteBufferPool(true, 4_096),
                new DeskTask(desk, worker.getIoThread(0), _team -> {}),
                new PlainDialect(() -> beforeSend.get().run()),
                () -> true,
                observer));
    }

    @AfterEach
    void stop() {
        listener.close();
        worker.shutdownNow();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static RelayRoute route(String prefix, CallKind kind, boolean resumable) {
        return new RelayRoute(
                new RouteId(prefix.replace("/", "")),
                "x",
                prefix,
                kind,
                resumable,
                1_500,
                200,
                0,
                List.of(new ServiceShare(SERVICE, 1)),
                2,
                false,
                false);
    }

    private void plan() throws InterruptedException {
        RelayPlan plan = new RelayPlan(
                1,
                List.of(
                        route("/safe/", CallKind.SAFE, false),
                        route("/unsafe/", CallKind.UNSAFE, false),
                        route("/stream/", CallKind.STREAM, true),
                        route("/once/", CallKind.STREAM, false)),
                List.of(new RelayService(SERVICE, 100, 0, 0, Optional.empty(), Optional.empty())),
                List.of(new RelayTeam(new TeamId("shops"), List.of("right"), OptionalInt.empty(), false, 0, 0, 0)),
                new CallerLimits(16_384, 1_000, 3_000, 15_000));
        onThread(() -> desk.onConfiguration(plan, System.nanoTime()));
    }

    private void list(FakeServer... servers) throws InterruptedException {
        plan();
        for (int i = 0; i < servers.length; i++) {
            list("s" + i, servers[i].port(), 8);
        }
    }

    private void list(String id, int serverPort, int slots) throws InterruptedException {
        RelayServer server = server(id, serverPort, slots);
        onThread(() -> desk.fleet().onListed(server, System.nanoTime()));
    }

    private static RelayServer server(String id, int serverPort, int slots) {
        return new RelayServer(
                new ServerId(id),
                1,
                SERVICE,
                "127.0.0.1",
                serverPort,
                HERE,
                new VersionId("v1"),
                slots,
                false,
                0,
                false);
    }

    private void onThread(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        worker.getIoThread(0).execute(() -> {
            task.run();
            done.countDown();
        });
        assertThat(done.await(5, TimeUnit.SECONDS), is(true));
    }

    private Caller.Answer call(String method, String target, String headers, String body) throws IOException {
        return Caller.call(port, method, target, headers, body);
    }

    @Test
    void relaysMethodTargetAndBodyAsTheyAre() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(201, OURS + "Extra: yes\r\n", "made"))) {
            list(server);
            Caller.Answer answer = call("POST", "/unsafe/a%2Fb;c?d=%20e", HEAD, "{\"any\": thing");

            assertThat(answer.status(), is(201));
            assertThat(answer.body(), is("made"));
            assertThat(answer.header("extra"), is("yes"));
            FakeServer.Request seen = server.requests().get(0);
            assertThat(seen.method() + " " + seen.target(), is("POST /unsafe/a%2Fb;c?d=%20e"));
            assertThat(seen.body(), is("{\"any\": thing"));
            assertThat(seen.headers().get("team"), is("shops"));
            assertThat(seen.headers().get("key"), nullValue());
        }
    }

    @Test
    void tellsWhatBecomesOfCalls() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, OURS, "x"))) {
            list(server);
            call("GET", "/safe/", HEAD, "");
            call("GET", "/other/", HEAD, "");

            assertThat(
                    observer.told(),
                    contains("started SAFE", "ended ANSWERED", "answered SAFE", "refused UNKNOWN_ROUTE"));
        }
    }

    @Test
    void answersWithoutAServerWhatIsNotAllowed() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, OURS, "x"))) {
            list(server);

            assertThat(call("GET", "/other/", HEAD, "").status(), is(404));
            assertThat(
                    call("GET", "/safe/", "attempt: a-1\r\nkey: wrong\r\n", "").status(), is(401));
            assertThat(call("GET", "/safe/", "key: right\r\n", "").status(), is(400));
            assertThat(call("POST", "/safe/", HEAD, "x".repeat(2_000)).status(), is(413));
            assertThat(server.requests(), is(empty()));
        }
    }

    @Test
    void refusesABodyWithTwoLengths() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, OURS, "x"));
                Caller caller = new Caller(port)) {
            list(server);
            caller.write("POST /safe/ HTTP/1.1\r\nHost: x\r\n" + HEAD
                    + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");

            assertThat(caller.read("POST").status(), is(400));
            assertThat(server.requests(), is(empty()));
        }
    }

    @Test
    void waitsForTheFirstConfigurationAndThenRefusesAsNotRun() throws Exception {
        Caller.Answer answer = call("GET", "/safe/", HEAD, "");

        assertThat(answer.status(), is(503));
        assertThat(answer.body(), containsString("not-run"));
        assertThat(answer.header("retry-after"), is(not("0")));
    }

    @Test
    void givesASafeCallToAnotherServerWhenTheFirstBreaks() throws Exception {
        try (FakeServer broken = FakeServer.start((_r, _c) -> {
                    throw new IOException("broken on purpose");
                });
                FakeServer sound = FakeServer.start((_r, c) -> c.answer(200, OURS, "fine"))) {
            list(broken, sound);
            for (int i = 0; i < 4; i++) {
                assertThat(call("GET", "/safe/" + i, HEAD, "").body(), is("fine"));
            }
        }
    }

    @Test
    void neverSendsAnUnsafeCallTwice() throws Exception {
        try (FakeServer broken = FakeServer.start((_r, _c) -> {
                    throw new IOException("broken on purpose");
                });
                FakeServer other = FakeServer.start((_r, _c) -> {
                    throw new IOException("broken on purpose");
                })) {
            list(broken, other);

            assertThat(call("POST", "/unsafe/", HEAD, "x").status(), is(502));
            assertThat(broken.requests().size() + other.requests().size(), is(1));
        }
    }

    @Test
    void sendsAnUnsafeCallOnWhenTheServerSaysThatItDidNotRun() throws Exception {
        try (FakeServer full = FakeServer.start((_r, c) -> c.answer(503, OURS + "not-run: 1\r\n", ""));
                FakeServer sound = FakeServer.start((_r, c) -> c.answer(200, OURS, "done"))) {
            list(full, sound);
            for (int i = 0; i < 4; i++) {
                assertThat(call("POST", "/unsafe/" + i, HEAD, "x").body(), is("done"));
            }
        }
    }

    @Test
    void relaysNoSuccessThatNobodySigned() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, "attempt: a-1\r\n", "forged"))) {
            list(server);

            assertThat(call("POST", "/unsafe/", HEAD, "x").status(), is(502));
        }
    }

    @Test
    void relaysNoAnswerToAnotherRequest() throws Exception {
        try (FakeServer server =
                FakeServer.start((_r, c) -> c.answer(200, "attempt: other\r\nsigned: yes\r\n", "late"))) {
            list(server);

            assertThat(call("POST", "/unsafe/", HEAD, "x").status(), is(502));
        }
    }

    /** Writes until the other side closes and returns how many bytes it took. */
    private static void writeWithoutEnd(FakeServer.Connection connection, AtomicLong written) throws IOException {
        String part = "x".repeat(PART_BYTES);
        while (written.get() < GIVE_UP_BYTES) {
            chunk(connection, part);
            written.addAndGet(PART_BYTES);
        }
    }

    @Test
    void endsAFailureWhoseBodyHasNoEnd() throws Exception {
        AtomicLong written = new AtomicLong();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 500 Oops\r\n" + OURS + "Transfer-Encoding: chunked\r\n\r\n");
            writeWithoutEnd(c, written);
        })) {
            list(server);
            Caller.Answer answer = call("POST", "/unsafe/", HEAD, "x");

            assertThat(answer.status(), is(502));
            assertThat(written.get(), lessThan(MOST_TAKEN_BYTES));
        }
    }

    @Test
    void endsAStreamWhoseEventHasNoEnd() throws Exception {
        AtomicLong written = new AtomicLong();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + OURS + "Transfer-Encoding: chunked\r\n\r\n");
            chunk(c, "id: 1\ndata: a\n\ndata: ");
            writeWithoutEnd(c, written);
        })) {
            list(server);
            Caller.Answer answer = call("POST", "/once/", HEAD, "x");

            assertThat(answer.whole(), is(false));
            assertThat(answer.body(), is("id: 1\ndata: a\n\n"));
            assertThat(written.get(), lessThan(MOST_TAKEN_BYTES));
        }
    }

    @Test
    void relaysAServersOwnFailureAsItIs() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(500, OURS, "sorry"))) {
            list(server);
            Caller.Answer answer = call("POST", "/unsafe/", HEAD, "x");

            assertThat(answer.status(), is(500));
            assertThat(answer.body(), is("sorry"));
            assertThat(answer.headers().get("signed"), is(notNullValue()));
        }
    }

    @Test
    void doesNotMakeATornAnswerLookWhole() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + OURS + "Content-Length: 10\r\n\r\nhalf");
            throw new IOException("torn on purpose");
        })) {
            list(server);

            assertThat(call("POST", "/unsafe/", HEAD, "x").status(), is(502));
        }
    }

    @Test
    void goesOnWithAResumableStreamAtAnotherServer() throws Exception {
        FakeServer.Script script = (request, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + OURS + "Transfer-Encoding: chunked\r\n\r\n");
            boolean resumed = "1".equals(request.headers().get("after"));
            chunk(c, resumed ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\nid: 2\nda");
            if (!resumed) {
                throw new IOException("torn on purpose");
            }
            c.write("0\r\n\r\n");
        };
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script)) {
            list(one, two);
            Caller.Answer answer = call("POST", "/stream/", HEAD, "x");

            assertThat(answer.body(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
            assertThat(answer.whole(), is(true));
        }
    }

    @Test
    void cutsAStreamThatMayNotBeResumed() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + OURS + "Transfer-Encoding: chunked\r\n\r\n");
            chunk(c, "id: 1\ndata: a\n\n");
            throw new IOException("torn on purpose");
        })) {
            list(server);

            assertThat(call("POST", "/once/", HEAD, "x").whole(), is(false));
        }
    }

    @Test
    void answersAtTheDeadlineWhenTheServerIsSilent() throws Exception {
        try (FakeServer server = FakeServer.start((_r, _c) -> Thread.sleep(10_000))) {
            list(server);
            long start = System.nanoTime();
            Caller.Answer answer = call("POST", "/unsafe/", "attempt: a-1\r\nkey: right\r\nwait: 300\r\n", "x");

            assertThat(answer.status(), is(504));
            assertThat(System.nanoTime() - start < 1_000_000_000L, is(true));
        }
    }

    @Test
    void endsTheServersWorkWhenTheCallerLeaves() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + OURS + "Transfer-Encoding: chunked\r\n\r\n");
            chunk(c, "id: 1\ndata: a\n\n");
            arrived.countDown();
        })) {
            list(server);
            try (Caller caller = new Caller(port)) {
                caller.send("POST", "/stream/", HEAD, "x");
                assertThat(arrived.await(5, TimeUnit.SECONDS), is(true));
                caller.readUntil("data: a");
            }
            awaitGone(server);
        }
    }

    @Test
    void endsTheServersWorkWhenTheCallerLeavesBeforeAnyAnswer() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (FakeServer server = FakeServer.start((_r, _c) -> arrived.countDown())) {
            list(server);
            try (Caller caller = new Caller(port)) {
                caller.send("POST", "/stream/", HEAD, "x");
                assertThat(arrived.await(5, TimeUnit.SECONDS), is(true));
            }
            awaitGone(server);
        }
    }

    /** No server ran it, though one had it; while it waits for another there is no room until its time ends. */
    @Test
    void saysNotRunOfACallThatAServerDeclinedAndThatThenWaitedInVain() throws Exception {
        AtomicInteger ownPort = new AtomicInteger();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            try {
                list("s0", ownPort.get(), NO_ROOM);
            } catch (InterruptedException _e) {
                Thread.currentThread().interrupt();
            }
            c.answer(503, OURS + "not-run: yes\r\n", "");
        })) {
            ownPort.set(server.port());
            list(server);

            assertThat(call("POST", "/unsafe/", HEAD, "x").status(), is(503));
            assertThat(server.requests(), hasSize(1));
        }
    }

    /** A process that stood still finds requests whose callers left meanwhile. */
    @Test
    void sendsNothingForACallerThatLeftBeforeItsRequestWasRead() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, OURS, "x"))) {
            list(server);
            CountDownLatch left = new CountDownLatch(1);
            worker.getIoThread(0).execute(() -> await(left));
            try (Caller caller = new Caller(port)) {
                caller.write("GET /safe/ HTTP/1.1\r\nHost: x\r\n" + HEAD + "\r\n");
            }
            left.countDown();
            onThread(() -> {});
            assertThat(call("GET", "/safe/", HEAD, "").status(), is(200));

            assertThat(server.requests(), hasSize(1));
        }
    }

    /** The thread stands still between the choice of a server and the connection to it. */
    @Test
    void sendsNothingForACallerThatLeftBeforeTheConnectionStood() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, OURS, "x"))) {
            list(server);
            for (int i = 0; i < 20; i++) {
                CountDownLatch chosen = new CountDownLatch(1);
                CountDownLatch left = new CountDownLatch(1);
                beforeSend.set(() -> {
                    chosen.countDown();
                    await(left);
                });
                try (Caller caller = new Caller(port)) {
                    caller.write("GET /safe/ HTTP/1.1\r\nHost: x\r\n" + HEAD + "\r\n");
                    await(chosen);
                }
                left.countDown();
                onThread(() -> {});
            }
            beforeSend.set(() -> {});
            assertThat(call("GET", "/safe/", HEAD, "").status(), is(200));

            assertThat(server.requests(), hasSize(1));
        }
    }

    /** Runs a task between the choice of the first server and the connection to it. */
    private void beforeConnecting(Runnable task) {
        beforeSend.set(() -> {
            beforeSend.set(() -> {});
            worker.getIoThread(0).execute(task);
        });
    }

    /** A connection takes up to half a second to be opened, and the server may leave meanwhile. */
    @Test
    void sendsNothingToAServerThatLeftWhileItsConnectionWasOpened() throws Exception {
        try (FakeServer leaving = FakeServer.start((_r, c) -> c.answer(200, OURS, "late"));
                FakeServer other = FakeServer.start((_r, c) -> c.answer(200, OURS, "whole"))) {
            list(leaving);
            RelayServer next = server("s1", other.port(), 8);
            beforeConnecting(() -> {
                desk.fleet().onRemoved(new ServerId("s0"));
                desk.fleet().onListed(next, System.nanoTime());
            });

            assertThat(call("POST", "/unsafe/", HEAD, "x").body(), is("whole"));
            assertThat(leaving.requests(), empty());
        }
    }

    @Test
    void refusesACallWhoseOnlyServerLeftBeforeItWasSent() throws Exception {
        try (FakeServer leaving = FakeServer.start((_r, c) -> c.answer(200, OURS, "late"))) {
            list(leaving);
            beforeConnecting(() -> desk.fleet().onRemoved(new ServerId("s0")));

            assertThat(call("POST", "/unsafe/", HEAD, "x").status(), is(503));
            assertThat(leaving.requests(), empty());
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(5, TimeUnit.SECONDS), is(true));
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitGone(FakeServer server) throws InterruptedException {
        for (int i = 0; i < 60 && server.gone() == 0; i++) {
            Thread.sleep(20);
        }
        assertThat(server.gone(), is(1));
    }

    @Test
    void takesNoMoreRequestsLateInAStop() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, OURS, "x"))) {
            list(server);
            listener.closeConnections();
            assertThat(call("GET", "/safe/", HEAD, "").status(), is(200));
            listener.takeNoMore();
            onThread(() -> {});

            assertThat(call("GET", "/safe/", HEAD, "").status(), is(503));
        }
    }

    private static void chunk(FakeServer.Connection connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
