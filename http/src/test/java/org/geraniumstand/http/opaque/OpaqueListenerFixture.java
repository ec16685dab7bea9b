package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Runs a listener for relayed calls between fake servers and callers on the loopback interface. */
abstract class OpaqueListenerFixture {
    static final ServiceId SERVICE = new ServiceId("desk");
    static final DataCentreId DATA_CENTRE = new DataCentreId("here");

    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long TARGET_MILLIS = 200;

    /** Time since the start of the process, after which it uses its share of the retry budget. */
    private static final long STARTED_NANOS = TimeUnit.SECONDS.toNanos(15);

    static final String SIGNED_HEADERS = "attempt: a-1\r\nsigned: yes\r\n";
    static final String CALL_HEADERS = "attempt: a-1\r\nkey: right\r\nwait: 1500\r\n";

    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 61 % PORTS));

    XnioWorker worker;
    OpaqueListener listener;
    final AtomicReference<Runnable> beforeSend = new AtomicReference<>(() -> {});
    final RecordingObserver observer = new RecordingObserver();
    RelayDispatcher dispatcher;
    DispatcherTask dispatcherTask;
    int port;

    @BeforeEach
    final void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        dispatcher = new RelayDispatcher(
                DATA_CENTRE, new RelayBounds(1, 50, 10_000, 0, 0, 1), new Random(1), System.nanoTime() - STARTED_NANOS);
        dispatcherTask = new DispatcherTask(dispatcher, worker.getIoThread(0), _team -> {});
        port = freePort();
        listener = OpaqueListener.start(new OpaqueListener.Setup(
                InetSocketAddress.createUnresolved("127.0.0.1", port),
                InetSocketAddress.createUnresolved("127.0.0.1", freePort()),
                worker,
                new DefaultByteBufferPool(true, 4_096),
                dispatcherTask,
                new PlainHeaderCodec(() -> beforeSend.get().run()),
                () -> true,
                observer));
    }

    @AfterEach
    final void stop() {
        listener.close();
        worker.shutdownNow();
    }

    /** Returns a free port below the ephemeral range, from which connections opened meanwhile take theirs. */
    private static int freePort() {
        for (int i = 0; i < PORTS; i++) {
            int candidate = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
            if (isFree(candidate)) {
                return candidate;
            }
        }
        throw new IllegalStateException("no free port from " + FIRST_PORT + " on");
    }

    private static boolean isFree(int candidate) {
        try (ServerSocket socket = new ServerSocket(candidate, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException _e) {
            return false;
        }
    }

    static RelayRoute route(String prefix, CallKind kind, boolean resumable) {
        return route(prefix, kind, resumable, TIMEOUT_MILLIS, TARGET_MILLIS);
    }

    static RelayRoute route(String prefix, CallKind kind, boolean resumable, long timeoutMillis, long targetMillis) {
        return new RelayRoute(
                new RouteId(prefix.replace("/", "")),
                "x",
                prefix,
                kind,
                resumable,
                timeoutMillis,
                targetMillis,
                0,
                List.of(new ServiceShare(SERVICE, 1)),
                2,
                false,
                false);
    }

    void configure() throws InterruptedException {
        configure(TIMEOUT_MILLIS, TARGET_MILLIS);
    }

    void configure(long timeoutMillis, long targetMillis) throws InterruptedException {
        RelayConfiguration configuration = new RelayConfiguration(
                1,
                List.of(
                        route("/safe/", CallKind.SAFE, false, timeoutMillis, targetMillis),
                        route("/unsafe/", CallKind.UNSAFE, false, timeoutMillis, targetMillis),
                        route("/stream/", CallKind.STREAM, true, timeoutMillis, targetMillis),
                        route("/once/", CallKind.STREAM, false, timeoutMillis, targetMillis)),
                List.of(new RelayService(SERVICE, 100, 0, 0, Optional.empty(), Optional.empty())),
                List.of(new RelayTeam(new TeamId("shops"), List.of("right"), OptionalInt.empty(), false, 0, 0, 0)),
                new CallerLimits(16_384, 1_000, 3_000, 15_000));
        onThread(() -> dispatcher.onConfiguration(configuration, System.nanoTime()));
    }

    void register(FakeServer... servers) throws InterruptedException {
        configure();
        for (int i = 0; i < servers.length; i++) {
            register("s" + i, servers[i].port(), 8);
        }
    }

    void register(String id, int serverPort, int slots) throws InterruptedException {
        RelayServer server = server(id, serverPort, slots);
        onThread(() -> dispatcher.fleet().onListed(server, System.nanoTime()));
    }

    static RelayServer server(String id, int serverPort, int slots) {
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

    void onThread(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        worker.getIoThread(0).execute(() -> {
            task.run();
            done.countDown();
        });
        assertThat(done.await(5, TimeUnit.SECONDS), is(true));
    }

    Caller.Answer call(String method, String target, String headers, String body) throws IOException {
        return Caller.call(port, method, target, headers, body);
    }

    /** Sends a call while two servers with the same script are registered, so that the second one may continue or repeat it. */
    Caller.Answer callToTwoServers(String target, FakeServer.Script script) throws Exception {
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script)) {
            register(one, two);
            return call("POST", target, CALL_HEADERS, "x");
        }
    }

    static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(5, TimeUnit.SECONDS), is(true));
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a signed success whose body is sent in chunks. */
    static void startChunks(FakeServer.Connection connection) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n");
    }

    static void chunk(FakeServer.Connection connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
