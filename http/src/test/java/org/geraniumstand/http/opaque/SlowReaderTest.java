package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests callers that read large answers slowly, and callers that read nothing of them. */
@Timeout(60)
final class SlowReaderTest extends OpaqueListenerFixture {
    private static final int ROUTE_MILLIS = 40_000;
    private static final int PART_BYTES = 64 * 1024;
    private static final int PARTS = 96;
    private static final int KEPT_BYTES = 200 * 1024;
    private static final int CALLERS = 20;
    private static final long SETTLED_MILLIS = 1_000;
    private static final int SMALL_BUFFER = 4 * 1024;
    private static final int SLOW_BYTES = 32 * 1024;
    private static final long SLOW_MILLIS = 50;
    private static final String PART = "x".repeat(PART_BYTES);

    private static void answer(FakeServer.Request request, FakeServer.Connection connection) throws IOException {
        if (request.target().endsWith("large")) {
            connection.write(
                    "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Content-Length: " + PARTS * PART_BYTES + "\r\n\r\n");
            for (int i = 0; i < PARTS; i++) {
                connection.write(PART);
            }
        } else {
            connection.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Content-Length: 2\r\n\r\nok");
        }
    }

    private Socket askForLarge(int receiveBytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(receiveBytes);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        String request = "GET /safe/large HTTP/1.1\r\nHost: x\r\nattempt: a-1\r\nkey: right\r\nwait: " + ROUTE_MILLIS
                + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private Caller.Answer callOrdinary() throws IOException {
        return call("GET", "/safe/small", "attempt: a-1\r\nkey: right\r\nwait: " + ROUTE_MILLIS + "\r\n", "");
    }

    private boolean answersOrdinaryCall() {
        try {
            return callOrdinary().status() == 200;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads as much as there is at a steady pace, and returns the number of bytes. */
    private static int readSlowly(Socket socket, int bytes) throws Exception {
        InputStream in = socket.getInputStream();
        int read = 0;
        while (read < bytes) {
            int count = in.read(new byte[SLOW_BYTES]);
            if (count < 0) {
                return read;
            }
            read += count;
            Thread.sleep(SLOW_MILLIS);
        }
        return read;
    }

    private void awaitNothingHeld() throws InterruptedException {
        Eventually.await("all memory of callers is returned", () -> listener.heldBytes() == 0);
    }

    @Test
    void callerThatReadsNothingMakesRoomForOneThatWaits() throws Exception {
        try (FakeServer server = FakeServer.start(SlowReaderTest::answer)) {
            configure(ROUTE_MILLIS, ROUTE_MILLIS / 2);
            register("s0", server.port(), 1);
            List<Socket> unread = new ArrayList<>();
            try {
                for (int i = 0; i < CALLERS; i++) {
                    unread.add(askForLarge(SMALL_BUFFER));
                }
                Eventually.await("answers wait for their callers", () -> listener.heldBytes() > PART_BYTES);
                Thread.sleep(SETTLED_MILLIS);
                assertThat("no call waits", server.requests().size() < CALLERS, is(true));
                assertThat("closed too early", server.disconnects(), is(0));

                Eventually.await("an ordinary call is answered", this::answersOrdinaryCall);
                assertThat("callers that were closed", server.disconnects(), is(greaterThanOrEqualTo(1)));
            } finally {
                for (Socket socket : unread) {
                    socket.close();
                }
            }
            awaitNothingHeld();
        }
    }

    @Test
    void callerThatReadsNothingIsClosedInCalmAfterALongTime() throws Exception {
        try (FakeServer server = FakeServer.start(SlowReaderTest::answer)) {
            configure(ROUTE_MILLIS, ROUTE_MILLIS / 2);
            register("s0", server.port(), 8);
            try (Socket unread = askForLarge(SMALL_BUFFER)) {
                Eventually.await("the answer waits for its caller", () -> listener.heldBytes() > PART_BYTES);
                Thread.sleep(20_000);
                assertThat("closed too early", server.disconnects(), is(0));
                Eventually.await("the server's connection is closed", () -> server.disconnects() == 1);
                awaitNothingHeld();
                assertThat("the answer looks complete", readUntilReset(unread) < PARTS * PART_BYTES, is(true));
            }
        }
    }

    /** Returns the number of bytes that arrive before the connection is reset. */
    private static int readUntilReset(Socket socket) throws IOException {
        int read = 0;
        try {
            InputStream in = socket.getInputStream();
            for (int count = 0; count >= 0; count = in.read(new byte[SLOW_BYTES])) {
                read += count;
            }
        } catch (IOException _e) {
            return read;
        }
        throw new IOException("the connection ended in order after " + read + " bytes");
    }

    @Test
    void callerThatReadsSlowlyGetsItsWholeAnswerWhileOthersWait() throws Exception {
        try (FakeServer server = FakeServer.start(SlowReaderTest::answer)) {
            configure(ROUTE_MILLIS, ROUTE_MILLIS / 2);
            register("s0", server.port(), 1);
            try (Socket slow = askForLarge(SLOW_BYTES)) {
                Eventually.await("the answer waits for its caller", () -> listener.heldBytes() > PART_BYTES);
                FutureTask<Integer> other =
                        new FutureTask<>(() -> callOrdinary().status());
                new Thread(other, "ordinary-caller").start();

                assertThat(readSlowly(slow, PARTS * PART_BYTES) >= PARTS * PART_BYTES, is(true));
                assertThat(other.get(), is(200));
            }
            awaitNothingHeld();
        }
    }

    @Test
    void returnsTheMemoryOfAnswersThatWereKeptAndOfCallersThatLeft() throws Exception {
        String kept = "y".repeat(KEPT_BYTES);
        try (FakeServer server = FakeServer.start((_request, connection) -> connection.write(
                "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Content-Length: " + KEPT_BYTES + "\r\n\r\n" + kept))) {
            configure(ROUTE_MILLIS, ROUTE_MILLIS / 2);
            register("s0", server.port(), 8);

            assertThat(callOrdinary().body().equals(kept), is(true));
            awaitNothingHeld();
            Socket left = askForLarge(SMALL_BUFFER);
            Eventually.await(
                    "the answer is kept",
                    () -> listener.heldBytes() > 0 || server.requests().size() > 1);
            left.close();
            awaitNothingHeld();
        }
    }
}
