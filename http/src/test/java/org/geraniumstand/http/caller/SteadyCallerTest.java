package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.fake.Caller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests that callers which take their answers, if slowly, aren't closed. */
@Timeout(90)
final class SteadyCallerTest {
    private static final int ANSWER_BYTES = 16 * 1024 * 1024;
    private static final int PART_BYTES = 1_024;
    private static final long PART_MILLIS = 400;
    private static final long STEADY_SECONDS = 25;
    private static final long FREEZE_MILLIS = CallerPace.MAX_STALLED_MILLIS + 1_000;

    private final AtomicInteger closed = new AtomicInteger();
    private final CountDownLatch frozen = new CountDownLatch(1);
    private XnioWorker worker;
    private CallerGate gate;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        gate = CallerGate.open(
                worker,
                InetSocketAddress.createUnresolved("127.0.0.1", 0),
                new DefaultByteBufferPool(true, 16_384),
                OptionMap.EMPTY,
                exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> serve(exchange)));
        gate.accept();
    }

    @AfterEach
    void stop() {
        gate.close();
        worker.shutdownNow();
    }

    private void serve(HttpServerExchange exchange) {
        assertThat(gate.onRequest(exchange).isPresent(), is(true));
        if (exchange.getRequestPath().equals("/freeze")) {
            frozen.countDown();
            sleep(FREEZE_MILLIS);
            exchange.endExchange();
            return;
        }
        exchange.getConnection().addCloseListener(_connection -> closed.incrementAndGet());
        CallerOutput.sendWhole(exchange, new byte[ANSWER_BYTES]);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket ask() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), gate.port());
        socket.getOutputStream().write("GET /large HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    @Test
    void callerThatTakesAKilobyteNowAndThenStays() throws Exception {
        try (Socket slow = ask()) {
            InputStream in = slow.getInputStream();
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STEADY_SECONDS);
            while (System.nanoTime() - end < 0) {
                assertThat("bytes of a part", in.readNBytes(PART_BYTES).length, is(PART_BYTES));
                assertThat("connections closed", closed.get(), is(0));
                Thread.sleep(PART_MILLIS);
            }
        }
    }

    @Test
    void callerThatReadsStaysIfTheProcessStandsStillMeanwhile() throws Exception {
        try (Socket sound = ask();
                Caller other = new Caller(gate.port())) {
            Thread.sleep(1_000);
            other.write("GET /freeze HTTP/1.1\r\nHost: x\r\n\r\n");
            assertThat(frozen.await(5, TimeUnit.SECONDS), is(true));
            InputStream in = sound.getInputStream();
            long read = 0;
            while (read < ANSWER_BYTES) {
                int count = in.read(new byte[64 * 1024]);
                assertThat("the connection ended after " + read + " bytes", count, is(greaterThan(0)));
                read += count;
            }
        }
    }
}
