package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a caller with the system's own receive buffer that reads 32 kB a second, while another call waits for its place. */
@Timeout(60)
final class SteadyReaderUnderPressureTest extends OpaqueListenerFixture {
    private static final int ROUTE_MILLIS = 40_000;
    private static final int PART_BYTES = 64 * 1024;
    private static final int PARTS = 400;
    private static final int CALLERS = 30;
    private static final int READ_BYTES = 3_200;
    private static final long READ_MILLIS = 100;
    private static final long STEADY_SECONDS = 15;
    private static final String HEADERS = "attempt: a-1\r\nkey: right\r\nwait: " + ROUTE_MILLIS + "\r\n";

    private static void answer(FakeServer.Request _request, FakeServer.Connection connection) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Content-Length: " + PARTS * PART_BYTES + "\r\n\r\n");
        for (int i = 0; i < PARTS; i++) {
            connection.write("x".repeat(PART_BYTES));
        }
    }

    private void readSteadily() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream()
                    .write(("GET /safe/large HTTP/1.1\r\nHost: x\r\n" + HEADERS + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            while (in.readNBytes(READ_BYTES).length == READ_BYTES) {
                Thread.sleep(READ_MILLIS);
            }
        } catch (IOException | InterruptedException _e) {
            // The server sees that its connection is closed.
        }
    }

    @Test
    void callersThatReadSteadilyStayWhileAnotherCallWaits() throws Exception {
        try (FakeServer server = FakeServer.start(SteadyReaderUnderPressureTest::answer)) {
            configure(ROUTE_MILLIS, ROUTE_MILLIS / 2);
            register("s0", server.port(), 1);
            for (int i = 0; i < CALLERS; i++) {
                Thread caller = new Thread(this::readSteadily, "steady-caller");
                caller.setDaemon(true);
                caller.start();
            }
            Eventually.await("the answers wait for their callers", () -> listener.heldBytes() > PART_BYTES);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STEADY_SECONDS);
            while (System.nanoTime() - end < 0) {
                assertThat("callers that were closed", server.disconnects(), is(0));
                Thread.sleep(READ_MILLIS);
            }
            assertThat("no call waits", server.requests().size() < CALLERS, is(true));
        }
    }
}
