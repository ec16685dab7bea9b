package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.geraniumstand.http.fake.Configurations;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.ListenerFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests callers of the own interface that read large answers slowly or not at all. */
@Timeout(60)
final class UnreadAnswerTest {
    private static final int PART_BYTES = 64 * 1024;
    private static final int PARTS = 96;
    private static final int SMALL_BUFFER = 4 * 1024;
    private static final int SLOW_BYTES = 32 * 1024;
    private static final long SLOW_MILLIS = 20;
    private static final long CALM_MILLIS = 20_000;

    private final ListenerFixture fixture = new ListenerFixture(UnreadAnswerTest::answer);

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static void answer(FakeServer.Request request, FakeServer.Connection connection) throws IOException {
        int parts = request.target().endsWith("large") ? PARTS : 1;
        String id = "X-Request-Id: " + request.attemptId() + "\r\n";
        connection.write("HTTP/1.1 200 OK\r\n" + id + "Content-Length: " + parts * PART_BYTES + "\r\n\r\n");
        for (int i = 0; i < parts; i++) {
            connection.write("x".repeat(PART_BYTES));
        }
    }

    private Socket ask(String target, int receiveBytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(receiveBytes);
        socket.connect(new InetSocketAddress(
                InetAddress.getLoopbackAddress(), fixture.listener().port()));
        String request = "GET " + target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                + "\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private void awaitNothingHeld() throws InterruptedException {
        Eventually.await(
                "all memory of callers is returned", () -> fixture.listener().heldBytes() == 0);
    }

    @Test
    void callerThatReadsNothingIsClosedAfterALongTime() throws Exception {
        try (Socket unread = ask("/pages/large", SMALL_BUFFER)) {
            Eventually.await(
                    "the answer waits for its caller", () -> fixture.listener().heldBytes() > PART_BYTES);
            Thread.sleep(CALM_MILLIS);
            assertThat("closed too early", fixture.core().anyCallerDisconnected(), is(false));
            Eventually.await("the attempt is cancelled", () -> fixture.server(0).disconnects() == 1);
            assertThat(fixture.core().anyCallerDisconnected(), is(true));
            awaitNothingHeld();
            assertThat(unread.isConnected(), is(true));
        }
    }

    @Test
    void callerThatReadsSlowlyGetsItsWholeAnswer() throws Exception {
        try (Socket slow = ask("/pages/large", SLOW_BYTES)) {
            InputStream in = slow.getInputStream();
            int read = 0;
            while (read < PARTS * PART_BYTES) {
                int count = in.read(new byte[SLOW_BYTES]);
                assertThat("the connection ended after " + read + " bytes", count, is(greaterThanOrEqualTo(0)));
                read += count;
                Thread.sleep(SLOW_MILLIS);
            }
            awaitNothingHeld();
        }
    }

    @Test
    void returnsTheMemoryOfCallersThatLeave() throws Exception {
        for (String target : new String[] {"/pages/large", "/pages/small"}) {
            Socket left = ask(target, SMALL_BUFFER);
            Eventually.await(
                    "the request arrives", () -> !fixture.server(0).requests().isEmpty());
            left.close();
            awaitNothingHeld();
        }
    }
}
