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
import java.util.concurrent.atomic.AtomicBoolean;
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
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServiceShare;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

final class OpaqueListenerTest {
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final DataCentreId DATA_CENTRE = new DataCentreId("here");

    /** Number of slots with which a server accepts no call, not even into its queue. */
    private static final int NO_FREE_SLOTS = -6;

    /** Size of each part of an endless answer, in bytes. */
    private static final int PART_BYTES = 64 * 1024;

    /** Number of bytes after which a server stops writing an endless answer. */
    private static final long MAX_WRITTEN_BYTES = 64 * 1024 * 1024;

    /** Maximum number of bytes that may be read of an endless answer: the 1 MB limit plus loopback socket buffers. */
    private static final long MAX_READ_BYTES = 16 * 1024 * 1024;

    private static final String SIGNED_HEADERS = "attempt: a-1\r\nsigned: yes\r\n";
    private static final String CALL_HEADERS = "attempt: a-1\r\nkey: right\r\nwait: 1500\r\n";

    private XnioWorker worker;
    private OpaqueListener listener;
    private final AtomicReference<Runnable> beforeSend = new AtomicReference<>(() -> {});
    private final RecordingObserver observer = new RecordingObserver();
    private RelayDispatcher dispatcher;
    private int port;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        dispatcher = new RelayDispatcher(
                DATA_CENTRE, new RelayBounds(1, 50, 10_000, 0, 0, 1), new Random(1), System.nanoTime());
        port = freePort();
        listener = OpaqueListener.start(new OpaqueListener.Setup(
                InetSocketAddress.createUnresolved("127.0.0.1", port),
                InetSocketAddress.createUnresolved("127.0.0.1", freePort()),
                worker,
                new DefaultByteBufferPool(true, 4_096),
                new DispatcherTask(dispatcher, worker.getIoThread(0), _team -> {}),
                new PlainHeaderCodec(() -> beforeSend.get().run()),
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

    private void configure() throws InterruptedException {
        RelayConfiguration configuration = new RelayConfiguration(
                1,
                List.of(
                        route("/safe/", CallKind.SAFE, false),
                        route("/unsafe/", CallKind.UNSAFE, false),
                        route("/stream/", CallKind.STREAM, true),
                        route("/once/", CallKind.STREAM, false)),
                List.of(new RelayService(SERVICE, 100, 0, 0, Optional.empty(), Optional.empty())),
                List.of(new RelayTeam(new TeamId("shops"), List.of("right"), OptionalInt.empty(), false, 0, 0, 0)),
                new CallerLimits(16_384, 1_000, 3_000, 15_000));
        onThread(() -> dispatcher.onConfiguration(configuration, System.nanoTime()));
    }

    private void register(FakeServer... servers) throws InterruptedException {
        configure();
        for (int i = 0; i < servers.length; i++) {
            register("s" + i, servers[i].port(), 8);
        }
    }

    private void register(String id, int serverPort, int slots) throws InterruptedException {
        RelayServer server = server(id, serverPort, slots);
        onThread(() -> dispatcher.fleet().onListed(server, System.nanoTime()));
    }

    private static RelayServer server(String id, int serverPort, int slots) {
        return new RelayServer(
                new ServerId(id),
                1,
                SERVICE,
                "127.0.0.1",
                serverPort,
                DATA_CENTRE,
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
    void relaysMethodTargetAndBodyUnchanged() throws Exception {
        try (FakeServer server =
                FakeServer.start((_r, c) -> c.answer(201, SIGNED_HEADERS + "Extra: yes\r\n", "made"))) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/a%2Fb;c?d=%20e", CALL_HEADERS, "{\"any\": thing");

            assertThat(answer.status(), is(201));
            assertThat(answer.body(), is("made"));
            assertThat(answer.header("extra"), is("yes"));
            FakeServer.Request received = server.requests().get(0);
            assertThat(received.method() + " " + received.target(), is("POST /unsafe/a%2Fb;c?d=%20e"));
            assertThat(received.body(), is("{\"any\": thing"));
            assertThat(received.headers().get("team"), is("shops"));
            assertThat(received.headers().get("key"), nullValue());
        }
    }

    @Test
    void reportsEventsOfCallsToObserver() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            call("GET", "/safe/", CALL_HEADERS, "");
            call("GET", "/other/", CALL_HEADERS, "");

            assertThat(
                    observer.events(),
                    contains("started SAFE", "ended ANSWERED", "answered SAFE", "refused UNKNOWN_ROUTE"));
        }
    }

    @Test
    void rejectsInvalidCallsWithoutContactingAServer() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);

            assertThat(call("GET", "/other/", CALL_HEADERS, "").status(), is(404));
            assertThat(
                    call("GET", "/safe/", "attempt: a-1\r\nkey: wrong\r\n", "").status(), is(401));
            assertThat(call("GET", "/safe/", "key: right\r\n", "").status(), is(400));
            assertThat(call("POST", "/safe/", CALL_HEADERS, "x".repeat(2_000)).status(), is(413));
            assertThat(server.requests(), is(empty()));
        }
    }

    @Test
    void rejectsBodyWithTwoLengths() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"));
                Caller caller = new Caller(port)) {
            register(server);
            caller.write("POST /safe/ HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS
                    + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");

            assertThat(caller.read("POST").status(), is(400));
            assertThat(server.requests(), is(empty()));
        }
    }

    @Test
    void refusesAsNotRunWhenNoConfigurationArrives() throws Exception {
        Caller.Answer answer = call("GET", "/safe/", CALL_HEADERS, "");

        assertThat(answer.status(), is(503));
        assertThat(answer.body(), containsString("not-run"));
        assertThat(answer.header("retry-after"), is(not("0")));
    }

    @Test
    void retriesSafeCallAtAnotherServerAfterConnectionFailure() throws Exception {
        try (FakeServer broken = FakeServer.start((_r, _c) -> {
                    throw new IOException("simulated connection failure");
                });
                FakeServer healthy = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "fine"))) {
            register(broken, healthy);
            for (int i = 0; i < 4; i++) {
                assertThat(call("GET", "/safe/" + i, CALL_HEADERS, "").body(), is("fine"));
            }
        }
    }

    @Test
    void neverRetriesUnsafeCall() throws Exception {
        try (FakeServer broken = FakeServer.start((_r, _c) -> {
                    throw new IOException("simulated connection failure");
                });
                FakeServer other = FakeServer.start((_r, _c) -> {
                    throw new IOException("simulated connection failure");
                })) {
            register(broken, other);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
            assertThat(broken.requests().size() + other.requests().size(), is(1));
        }
    }

    @Test
    void retriesUnsafeCallThatServerDeclaresNotRun() throws Exception {
        try (FakeServer declining = FakeServer.start((_r, c) -> c.answer(503, SIGNED_HEADERS + "not-run: 1\r\n", ""));
                FakeServer healthy = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "done"))) {
            register(declining, healthy);
            for (int i = 0; i < 4; i++) {
                assertThat(call("POST", "/unsafe/" + i, CALL_HEADERS, "x").body(), is("done"));
            }
        }
    }

    @Test
    void neverRelaysUnsignedSuccess() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, "attempt: a-1\r\n", "forged"))) {
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
        }
    }

    @Test
    void neverRelaysAnswerToAnotherRequest() throws Exception {
        try (FakeServer server =
                FakeServer.start((_r, c) -> c.answer(200, "attempt: other\r\nsigned: yes\r\n", "late"))) {
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
        }
    }

    /** Writes until the other side closes the connection, and counts the bytes written. */
    private static void writeEndlessly(FakeServer.Connection connection, AtomicLong written) throws IOException {
        String part = "x".repeat(PART_BYTES);
        while (written.get() < MAX_WRITTEN_BYTES) {
            chunk(connection, part);
            written.addAndGet(PART_BYTES);
        }
    }

    @Test
    void abortsErrorAnswerWithEndlessBody() throws Exception {
        AtomicLong written = new AtomicLong();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 500 Oops\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n");
            writeEndlessly(c, written);
        })) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

            assertThat(answer.status(), is(502));
            assertThat(written.get(), lessThan(MAX_READ_BYTES));
        }
    }

    @Test
    void abortsStreamWithEndlessEvent() throws Exception {
        AtomicLong written = new AtomicLong();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n");
            chunk(c, "id: 1\ndata: a\n\ndata: ");
            writeEndlessly(c, written);
        })) {
            register(server);
            Caller.Answer answer = call("POST", "/once/", CALL_HEADERS, "x");

            assertThat(answer.complete(), is(false));
            assertThat(answer.body(), is("id: 1\ndata: a\n\n"));
            assertThat(written.get(), lessThan(MAX_READ_BYTES));
        }
    }

    /** The bytes of each of these belong to no answer, and a process that keeps them runs out of memory. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nname: ",
                "HTTP/1.1 500 Oops\r\nattempt: a-1\r\nsigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                "HTTP/1.1 500 Oops\r\nattempt: a-1\r\nsigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nname: ",
                "HTTP/1.1 500 Oops\r\nattempt: a-1\r\nsigned: yes\r\n\r\n"
            })
    void abortsAnswerWhoseFramingNeverEnds(String start) throws Exception {
        AtomicLong written = new AtomicLong();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write(start);
            String part = "x".repeat(PART_BYTES);
            while (written.get() < MAX_WRITTEN_BYTES) {
                c.write(part);
                written.addAndGet(PART_BYTES);
            }
        })) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

            assertThat(answer.status(), is(502));
            assertThat(written.get(), lessThan(MAX_READ_BYTES));
        }
    }

    /** Each header is short, and there is no end to their number. */
    @Test
    void abortsAnswerWithEndlessHeaders() throws Exception {
        AtomicLong written = new AtomicLong();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n");
            String part = "name: value\r\n".repeat(PART_BYTES / 13);
            while (written.get() < MAX_WRITTEN_BYTES) {
                c.write(part);
                written.addAndGet(part.length());
            }
        })) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

            assertThat(answer.status(), is(502));
            assertThat(written.get(), lessThan(MAX_READ_BYTES));
        }
    }

    /** Writes a text again and again until the other side closes the connection. */
    private static void writeUntilClosed(FakeServer.Connection connection, String text) throws IOException {
        String part = text.repeat(PART_BYTES / text.length());
        while (true) {
            connection.write(part);
        }
    }

    /** Reads whatever arrives until the connection is closed. */
    private static void discardAll(Caller caller) {
        Thread reader = new Thread(() -> {
            try {
                caller.discardAll();
            } catch (IOException _e) {
                // The test closes the connection at its end.
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    /** Guards against an answer without end, read in one turn of the I/O thread, that leaves all other calls unanswered. */
    @ParameterizedTest
    @CsvSource({
        "/once/endless, 'Content-Type: text/event-stream\\r\\n', '\\n'",
        "/once/endless, 'Content-Type: text/event-stream\\r\\n', 'data: x\\n\\n'",
        "/once/endless, 'Transfer-Encoding: chunked\\r\\n', '9\\r\\ndata: x\\n\\n\\r\\n'",
        "/unsafe/endless, '', 'x'",
        "/unsafe/endless, 'Transfer-Encoding: chunked\\r\\n', '1\\r\\nx\\r\\n'",
        "/unsafe/endless, 'Content-Length: 9000000000000\\r\\n', 'x'"
    })
    void answersOtherCallsWhileAServerSendsWithoutEnd(String target, String framing, String part) throws Exception {
        CountDownLatch sending = new CountDownLatch(1);
        try (FakeServer server = FakeServer.start((request, c) -> {
                    if (request.target().equals(target)) {
                        c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + unescape(framing) + "\r\n");
                        sending.countDown();
                        writeUntilClosed(c, unescape(part));
                    }
                    c.answer(200, SIGNED_HEADERS, "fine");
                });
                Caller reader = new Caller(port)) {
            register(server);
            reader.send("POST", target, CALL_HEADERS, "x");
            discardAll(reader);
            await(sending);
            for (int i = 0; i < 20; i++) {
                long start = System.nanoTime();
                assertThat(call("GET", "/safe/" + i, CALL_HEADERS, "").body(), is("fine"));
                assertThat(System.nanoTime() - start, lessThan(TimeUnit.MILLISECONDS.toNanos(1_000)));
            }
        }
    }

    /** Guards against a stream without any event that lasts until its caller leaves, as empty lines counted as events. */
    @Test
    void abortsAndRepeatsStreamOfEndlessEmptyLines() throws Exception {
        AtomicBoolean faulty = new AtomicBoolean(true);
        FakeServer.Script script = (_request, c) -> {
            if (faulty.getAndSet(false)) {
                c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "\r\n" + "\n".repeat(8 * 1024 * 1024));
                throw new IOException("end of the connection");
            }
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n");
            chunk(c, "id: 1\ndata: a\n\n");
            c.write("0\r\n\r\n");
        };
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script)) {
            register(one, two);
            Caller.Answer answer = call("POST", "/stream/", CALL_HEADERS, "x");

            assertThat(answer.body(), is("id: 1\ndata: a\n\n"));
            assertThat(answer.complete(), is(true));
        }
    }

    /** The empty lines fill the output to the caller, which must not pause the connection that the next call uses. */
    @Test
    void relaysManyEmptyLinesAfterTheLastEventAndServesTheNextCall() throws Exception {
        String body = "id: 1\ndata: a\n\n" + "\n".repeat(900_000);
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, body))) {
            register(server);
            for (int i = 0; i < 3; i++) {
                Caller.Answer answer = call("POST", "/once/", CALL_HEADERS, "x");

                assertThat(answer.body().equals(body), is(true));
                assertThat(answer.complete(), is(true));
            }
        }
    }

    @Test
    void relaysEmptyLinesAroundEventsUnchanged() throws Exception {
        String body = "\n\nid: 1\ndata: a\n\n\n\r\n";
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, body))) {
            register(server);
            Caller.Answer answer = call("POST", "/once/", CALL_HEADERS, "x");

            assertThat(answer.body(), is(body));
            assertThat(answer.complete(), is(true));
        }
    }

    private static String unescape(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n");
    }

    /** Returns an answer's head and body in one of the ways in which its end can be told. */
    private static String framed(String framing) {
        String head = "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS;
        return framing.equals("length")
                ? head + "Content-Length: 16\r\n\r\nid: 1\ndata: ab\n\n"
                : head + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n0\r\n\r\n";
    }

    /** Guards against an answer that was cut in its head or body, and reaches the caller as a whole and empty or short one. */
    @ParameterizedTest
    @CsvSource({"length, /unsafe/", "chunks, /unsafe/", "length, /once/", "chunks, /once/"})
    void neverCompletesAnswerThatIsCutAtAnyByte(String framing, String target) throws Exception {
        String whole = framed(framing);
        AtomicInteger cut = new AtomicInteger();
        try (FakeServer server = FakeServer.start((_request, c) -> {
            c.write(whole.substring(0, cut.get()));
            c.abort();
        })) {
            for (int i = 0; i < whole.length(); i++) {
                cut.set(i);
                configure();
                register("s" + i, server.port(), 8);
                Caller.Answer answer = call("POST", target, CALL_HEADERS, "x");
                assertThat("cut after " + i + " bytes", answer.status() == 200 && answer.complete(), is(false));
                onThread(() -> dispatcher.fleet().onRemoved(new ServerId("s" + cut.get())));
            }
            assertThat(server.requests(), hasSize(whole.length()));
        }
    }

    /** An answer without length and chunks can be cut in its head, too. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n"})
    void neverCompletesUnframedAnswerThatIsCutInItsHead(String header) throws Exception {
        String head = "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + header + "\r\n";
        AtomicInteger cut = new AtomicInteger();
        try (FakeServer server = FakeServer.start((_request, c) -> {
            c.write(head.substring(0, cut.get()));
            c.abort();
        })) {
            for (int i = 0; i < head.length(); i++) {
                cut.set(i);
                configure();
                register("s" + i, server.port(), 8);
                Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");
                assertThat("cut after " + i + " bytes", answer.status(), is(502));
                onThread(() -> dispatcher.fleet().onRemoved(new ServerId("s" + cut.get())));
            }
        }
    }

    /**
     * Guards against an answer that is no answer of HTTP, and leaves its call unanswered and its place at the server taken,
     * or reaches the caller.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 2000 OK\r\nContent-Length: 4",
                "HTTP/1.1 1000 OK\r\nContent-Length: 4",
                "HTTP/1.1 999 OK\r\nContent-Length: 4",
                "HTTP/1.1 600 OK\r\nContent-Length: 4",
                "HTTP/1.1 199 OK\r\nContent-Length: 4",
                "HTTP/1.1 103 Early Hints\r\nContent-Length: 4",
                "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 4",
                "HTTP/1.1 99 OK\r\nContent-Length: 4",
                "HTTP/1.1 0 OK\r\nContent-Length: 4",
                "HTTP/1.1 -200 OK\r\nContent-Length: 4",
                "HTTP/1.1 99999999999 OK\r\nContent-Length: 4",
                "HTTP/1.1 abc OK\r\nContent-Length: 4",
                "HTTP/9.9 200 OK\r\nContent-Length: 4",
                "SPDY 200 OK\r\nContent-Length: 4",
                "200 OK\r\nContent-Length: 4",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2",
                "HTTP/1.1 200 OK\r\nContent-Length: 4, 2",
                "HTTP/1.1 200 OK\r\nContent-Length: -1",
                "HTTP/1.1 200 OK\r\nContent-Length: x",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
                "\u0001\u0002"
            })
    void answersCallWhoseServerSendsNoAnswerOfHttp(String head) throws Exception {
        AtomicBoolean faulty = new AtomicBoolean(true);
        try (FakeServer server = FakeServer.start((_request, c) -> {
            if (faulty.getAndSet(false)) {
                c.write(head + "\r\n" + SIGNED_HEADERS + "\r\nbody");
                throw new IOException("end of the connection");
            }
            c.answer(200, SIGNED_HEADERS, "fine");
        })) {
            configure();
            register("s0", server.port(), 1);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").body(), is("fine"));
        }
    }

    /** Guards against a body whose chunk goes on after its size, and reaches the caller cut and as whole. */
    @Test
    void neverCompletesAnswerWithAChunkLongerThanItsSize() throws Exception {
        try (FakeServer server = FakeServer.start((_request, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS
                    + "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n");
        })) {
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
        }
    }

    /** Guards against a repeated refusal, which names no request, that is taken for the answer to the next request. */
    @ParameterizedTest
    @CsvSource({"/unsafe/, 0", "/unsafe/, 5", "/once/, 0", "/once/, 5"})
    void neverTakesARepeatedRefusalForTheAnswerToTheNextRequest(String target, long delayMillis) throws Exception {
        String refusal = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger refusals = new AtomicInteger();
        FakeServer.Script script = (request, c) -> {
            if (request.target().endsWith("/refused")) {
                refusals.incrementAndGet();
                c.write(refusal);
                c.repeatLater(refusal, delayMillis);
                return;
            }
            runs.incrementAndGet();
            Thread.sleep(20);
            c.answer(200, SIGNED_HEADERS, "data: done\n\n");
        };
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script)) {
            register(one, two);
            int statuses = 0;
            for (int i = 0; i < 10; i++) {
                call("POST", target + "refused", CALL_HEADERS, "x");
                statuses += call("POST", target + "order", CALL_HEADERS, "x").status() == 200 ? 1 : 0;
            }

            assertThat(refusals.get(), is(not(0)));
            assertThat(statuses, is(10));
            assertThat(runs.get(), is(10));
        }
    }

    @Test
    void relaysServerErrorUnchanged() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(500, SIGNED_HEADERS, "sorry"))) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

            assertThat(answer.status(), is(500));
            assertThat(answer.body(), is("sorry"));
            assertThat(answer.headers().get("signed"), is(notNullValue()));
        }
    }

    @Test
    void neverRelaysTruncatedAnswerAsComplete() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Content-Length: 10\r\n\r\nhalf");
            throw new IOException("simulated connection loss");
        })) {
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
        }
    }

    @Test
    void resumesResumableStreamAtAnotherServer() throws Exception {
        FakeServer.Script script = (request, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n");
            boolean resumed = "1".equals(request.headers().get("after"));
            chunk(c, resumed ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\nid: 2\nda");
            if (!resumed) {
                throw new IOException("simulated connection loss");
            }
            c.write("0\r\n\r\n");
        };
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script)) {
            register(one, two);
            Caller.Answer answer = call("POST", "/stream/", CALL_HEADERS, "x");

            assertThat(answer.body(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
            assertThat(answer.complete(), is(true));
        }
    }

    /** Starts servers of which the first called breaks a stream off, the next answers otherwise, and the third resumes it. */
    private FakeServer.Script breakOffThenAnswer(String answer) {
        AtomicInteger calls = new AtomicInteger();
        return (_request, c) -> {
            int number = calls.incrementAndGet();
            if (number == 2) {
                c.write(answer);
                throw new IOException("end of the connection");
            }
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n");
            chunk(c, number == 1 ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n");
            if (number == 1) {
                throw new IOException("simulated connection loss");
            }
            c.write("0\r\n\r\n");
        };
    }

    /** Guards against the body of a refusal in the middle of a stream that is then resumed and ends as complete. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 6\r\n\r\nfull\n\n",
                "Transfer-Encoding: chunked\r\n\r\n6\r\nfull\n\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n6\r\nfull\n\n\r\n",
                "Content-Length: 9\r\n\r\nfull\n\n",
                "\r\nfull\n\n",
                "Content-Length: 0\r\n\r\n"
            })
    void resumesStreamWithoutAnyByteOfARefusal(String refusal) throws Exception {
        FakeServer.Script script = breakOffThenAnswer("HTTP/1.1 503 Full\r\nattempt: a-1\r\nnot-run: 1\r\n" + refusal);
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script);
                FakeServer three = FakeServer.start(script)) {
            register(one, two, three);
            Caller.Answer answer = call("POST", "/stream/", CALL_HEADERS, "x");

            assertThat(answer.body(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
            assertThat(answer.complete(), is(true));
        }
    }

    /** Guards against the body of a failure at the end of a stream that broke off. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "500 Oops\r\nattempt: a-1\r\nsigned: yes\r\nContent-Length: 6\r\n\r\noops\n\n",
                "500 Oops\r\nattempt: a-1\r\nsigned: yes\r\n\r\noops\n\n",
                "404 Gone\r\nattempt: a-1\r\nsigned: yes\r\nContent-Length: 6\r\n\r\noops\n\n",
                "404 Gone\r\nattempt: a-1\r\nsigned: yes\r\nContent-Length: 0\r\n\r\n",
                "200 OK\r\nattempt: a-1\r\nContent-Length: 6\r\n\r\noops\n\n",
                "200 OK\r\nattempt: a-1\r\nContent-Length: 0\r\n\r\n",
                "302 Found\r\nattempt: a-1\r\nsigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n6\r\noops\n\n\r\n0\r\n\r\n"
            })
    void endsBrokenStreamWithoutAnyByteOfAFailure(String failure) throws Exception {
        FakeServer.Script script = breakOffThenAnswer("HTTP/1.1 " + failure);
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script)) {
            register(one, two);
            Caller.Answer answer = call("POST", "/stream/", CALL_HEADERS, "x");

            assertThat(answer.body(), is("id: 1\ndata: a\n\n"));
            assertThat(answer.complete(), is(false));
        }
    }

    /** An answer without length and chunks ends with its connection, also when the server is cut off. */
    @Test
    void resumesUnframedStreamThatEndsInsideAnEvent() throws Exception {
        FakeServer.Script script = (request, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "\r\n");
            boolean resumed = "1".equals(request.headers().get("after"));
            c.write(resumed ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\nid: 2\nda");
            throw new IOException("end of the connection");
        };
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script)) {
            register(one, two);
            Caller.Answer answer = call("POST", "/stream/", CALL_HEADERS, "x");

            assertThat(answer.body(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
            assertThat(answer.complete(), is(true));
        }
    }

    @Test
    void neverCompletesStreamThatEndsInsideAnEvent() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "\r\nid: 1\ndata: a\n\nid: 2\nda");
            throw new IOException("end of the connection");
        })) {
            register(server);

            assertThat(call("POST", "/once/", CALL_HEADERS, "x").complete(), is(false));
        }
    }

    @Test
    void closesConnectionOfBrokenStreamThatIsNotResumable() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n");
            chunk(c, "id: 1\ndata: a\n\n");
            throw new IOException("simulated connection loss");
        })) {
            register(server);

            assertThat(call("POST", "/once/", CALL_HEADERS, "x").complete(), is(false));
        }
    }

    @Test
    void refusesAtDeadlineWhenServerIsUnresponsive() throws Exception {
        try (FakeServer server = FakeServer.start((_r, _c) -> Thread.sleep(10_000))) {
            register(server);
            long start = System.nanoTime();
            Caller.Answer answer = call("POST", "/unsafe/", "attempt: a-1\r\nkey: right\r\nwait: 300\r\n", "x");

            assertThat(answer.status(), is(504));
            assertThat(System.nanoTime() - start < 1_000_000_000L, is(true));
        }
    }

    @Test
    void cancelsAttemptWhenCallerDisconnects() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n");
            chunk(c, "id: 1\ndata: a\n\n");
            arrived.countDown();
        })) {
            register(server);
            try (Caller caller = new Caller(port)) {
                caller.send("POST", "/stream/", CALL_HEADERS, "x");
                assertThat(arrived.await(5, TimeUnit.SECONDS), is(true));
                caller.readUntil("data: a");
            }
            awaitDisconnect(server);
        }
    }

    /** A call that is sent late in a shutdown would be cut at its end, and may not be repeated. */
    @Test
    void refusesRequestWhoseBodyIsCompleteOnlyDuringTheShutdown() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"));
                Caller caller = new Caller(port)) {
            register(server);
            caller.write("POST /unsafe/ HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS + "Content-Length: 2\r\n\r\n1");
            Thread.sleep(100);
            listener.disableKeepAlive();
            listener.refuseNewRequests();
            Thread.sleep(100);
            caller.write("2");

            assertThat(caller.read("POST").status(), is(503));
            assertThat(server.requests(), is(empty()));
        }
    }

    /** At the end of a shutdown a call gets an answer, not a closed connection. */
    @Test
    void answersCallsThatAreOpenWhenTheProcessEnds() throws Exception {
        try (FakeServer server = FakeServer.start((_r, _c) -> Thread.sleep(10_000));
                Caller caller = new Caller(port)) {
            register(server);
            caller.send("POST", "/unsafe/", CALL_HEADERS, "x");
            for (int i = 0; i < 100 && server.requests().isEmpty(); i++) {
                Thread.sleep(10);
            }
            listener.answerOpenCalls();

            assertThat(caller.read("POST").status(), is(502));
        }
    }

    @Test
    void refusesWaitingCallsWhenTheProcessEnds() throws Exception {
        try (FakeServer server = FakeServer.start((_r, _c) -> Thread.sleep(10_000));
                Caller caller = new Caller(port)) {
            configure();
            register("s0", server.port(), NO_FREE_SLOTS);
            caller.send("POST", "/unsafe/", CALL_HEADERS, "x");
            Thread.sleep(200);
            listener.answerOpenCalls();

            assertThat(caller.read("POST").status(), is(503));
            assertThat(server.requests(), is(empty()));
        }
    }

    /** The server's entry still says that it is ready. */
    @Test
    void sendsNothingToAServerThatAnnouncedThatItLeaves() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS + "leaving: 1\r\n", "x"))) {
            register(server);
            Caller.Answer first = call("GET", "/safe/", CALL_HEADERS, "");

            assertThat(first.status(), is(200));
            assertThat(first.headers().containsKey("leaving"), is(false));
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(503));
            assertThat(server.requests().size(), is(1));
        }
    }

    @Test
    void sendsNothingToAServerThatAskedForAPauseBeyondTheDeadline() throws Exception {
        try (FakeServer server =
                FakeServer.start((_r, c) -> c.answer(503, "attempt: a-1\r\nnot-run: 1\r\npause: 60000\r\n", ""))) {
            register(server);

            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(503));
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(503));
            assertThat(server.requests().size(), is(1));
        }
    }

    @Test
    void cancelsAttemptWhenCallerDisconnectsBeforeAnswer() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (FakeServer server = FakeServer.start((_r, _c) -> arrived.countDown())) {
            register(server);
            try (Caller caller = new Caller(port)) {
                caller.send("POST", "/stream/", CALL_HEADERS, "x");
                assertThat(arrived.await(5, TimeUnit.SECONDS), is(true));
            }
            awaitDisconnect(server);
        }
    }

    /**
     * Guards against the outcome "unknown" for a call that a server declined: the only server reports that it did not
     * run the call and has no free slot any more, so the call waits until it is refused.
     */
    @Test
    void reportsNotRunIfDeclinedCallFindsNoOtherServer() throws Exception {
        AtomicInteger ownPort = new AtomicInteger();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            try {
                register("s0", ownPort.get(), NO_FREE_SLOTS);
            } catch (InterruptedException _e) {
                Thread.currentThread().interrupt();
            }
            c.answer(503, SIGNED_HEADERS + "not-run: yes\r\n", "");
        })) {
            ownPort.set(server.port());
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(503));
            assertThat(server.requests(), hasSize(1));
        }
    }

    /** Guards against sending requests whose callers disconnected while the process was paused. */
    @Test
    void sendsNothingIfCallerDisconnectedBeforeItsRequestWasRead() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            CountDownLatch disconnected = new CountDownLatch(1);
            worker.getIoThread(0).execute(() -> await(disconnected));
            try (Caller caller = new Caller(port)) {
                caller.write("GET /safe/ HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS + "\r\n");
            }
            disconnected.countDown();
            onThread(() -> {});
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(200));

            assertThat(server.requests(), hasSize(1));
        }
    }

    /**
     * Guards against sending a request whose caller disconnects while the I/O thread is blocked between the selection
     * of a server and the connection to it.
     */
    @Test
    void sendsNothingIfCallerDisconnectedBeforeServerConnectionWasEstablished() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            for (int i = 0; i < 20; i++) {
                CountDownLatch chosen = new CountDownLatch(1);
                CountDownLatch disconnected = new CountDownLatch(1);
                beforeSend.set(() -> {
                    chosen.countDown();
                    await(disconnected);
                });
                try (Caller caller = new Caller(port)) {
                    caller.write("GET /safe/ HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS + "\r\n");
                    await(chosen);
                }
                disconnected.countDown();
                onThread(() -> {});
            }
            beforeSend.set(() -> {});
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(200));

            assertThat(server.requests(), hasSize(1));
        }
    }

    /** Runs a task between the selection of the first server and the connection to it. */
    private void beforeConnecting(Runnable task) {
        beforeSend.set(() -> {
            beforeSend.set(() -> {});
            worker.getIoThread(0).execute(task);
        });
    }

    /** Guards against sending a call to a server that is removed while connecting, which takes up to half a second. */
    @Test
    void sendsNothingToServerThatWasRemovedWhileConnecting() throws Exception {
        try (FakeServer removed = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "late"));
                FakeServer other = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "whole"))) {
            register(removed);
            RelayServer next = server("s1", other.port(), 8);
            beforeConnecting(() -> {
                dispatcher.fleet().onRemoved(new ServerId("s0"));
                dispatcher.fleet().onListed(next, System.nanoTime());
            });

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").body(), is("whole"));
            assertThat(removed.requests(), empty());
        }
    }

    @Test
    void refusesCallWhoseOnlyServerWasRemovedBeforeSending() throws Exception {
        try (FakeServer removed = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "late"))) {
            register(removed);
            beforeConnecting(() -> dispatcher.fleet().onRemoved(new ServerId("s0")));

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(503));
            assertThat(removed.requests(), empty());
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(5, TimeUnit.SECONDS), is(true));
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitDisconnect(FakeServer server) throws InterruptedException {
        for (int i = 0; i < 60 && server.disconnects() == 0; i++) {
            Thread.sleep(20);
        }
        assertThat(server.disconnects(), is(1));
    }

    @Test
    void refusesRequestsLateInShutdown() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            listener.disableKeepAlive();
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(200));
            listener.refuseNewRequests();
            onThread(() -> {});

            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(503));
        }
    }

    private static void chunk(FakeServer.Connection connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
