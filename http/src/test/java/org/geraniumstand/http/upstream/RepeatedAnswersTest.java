package org.geraniumstand.http.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.decisions.Action.AttemptLimits;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.support.net.AnswerLimits;
import org.geraniumstand.support.net.HttpBody;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the copy of an earlier answer costs an attempt nothing but time, within limits. */
@Timeout(60)
final class RepeatedAnswersTest extends AttemptFixture {
    /** Guards against an order that is answered 502 because the copy of an earlier refusal came before its own answer. */
    @ParameterizedTest
    @CsvSource({
        "'Content-Length: 0\\r\\n\\r\\n', 0",
        "'Content-Length: 0\\r\\n\\r\\n', 20",
        "'Content-Length: 4\\r\\n\\r\\nfull', 0",
        "'Content-Length: 4\\r\\n\\r\\nfull', 20",
        "'Transfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nfull\\r\\n0\\r\\n\\r\\n', 0",
        "'Transfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nfull\\r\\n0\\r\\n\\r\\n', 20"
    })
    void waitsForItsOwnAnswer(String framing, long pauseMillis) throws Exception {
        String copy = COPY + framing.replace("\\r", "\r").replace("\\n", "\n");
        try (FakeServer server = startAndRefuse((request, c) -> {
            if (pauseMillis == 0) {
                c.write(copy + own(request));
                return;
            }
            c.write(copy);
            Thread.sleep(pauseMillis);
            c.write(own(request));
        })) {
            for (int i = 0; i < 10; i++) {
                assertThat(send(server, "POST", "id" + i), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
            }
            assertThat(server.requests(), hasSize(11));
            assertThat(server.disconnects(), is(0));
        }
    }

    @Test
    void waitsForItsOwnAnswerToAHeadRequest() throws Exception {
        try (FakeServer server =
                startAndRefuse((request, c) -> c.write(COPY + "Content-Length: 4\r\n\r\n" + ownHead(request)))) {
            for (int i = 0; i < 10; i++) {
                assertThat(send(server, "HEAD", "id" + i), is(new Ended(AttemptEnd.ANSWERED, 201, "")));
            }
            assertThat(server.requests(), hasSize(11));
            assertThat(server.disconnects(), is(0));
        }
    }

    @ParameterizedTest
    @CsvSource({"8, ANSWERED", "9, BROKEN"})
    void dropsALimitedNumberOfAnswers(int copies, AttemptEnd end) throws Exception {
        String all = (COPY + "Content-Length: 0\r\n\r\n").repeat(copies);
        try (FakeServer server = startAndRefuse((request, c) -> c.write(all + own(request)))) {
            assertThat(send(server, "POST", "a").end(), is(end));
        }
    }

    /** The limit on what stands besides bodies must not end an attempt because of the body that is dropped. */
    @Test
    void dropsABodyThatIsLargerThanAnyHead() throws Exception {
        int length = 4 * AnswerLimits.MAX_FRAMING_BYTES;
        String copy = COPY + "Content-Length: " + length + "\r\n\r\n" + "x".repeat(length);
        try (FakeServer server = startAndRefuse((request, c) -> c.write(copy + own(request)))) {
            assertThat(send(server, "POST", "a"), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 9000000000000\r\n\r\n", "\r\n"})
    void dropsALimitedNumberOfBytes(String framing) throws Exception {
        AtomicLong written = new AtomicLong();
        String part = "x".repeat(AnswerLimits.MAX_FRAMING_BYTES);
        try (FakeServer server = startAndRefuse((_request, c) -> {
            c.write(COPY + framing);
            while (written.get() < 64L * AnswerLimits.MAX_INCOMPLETE_BYTES) {
                c.write(part);
                written.addAndGet(part.length());
            }
        })) {
            assertThat(send(server, "POST", "a").end(), is(AttemptEnd.BROKEN));
            // What exceeds the limit is in the socket buffers of the loopback interface.
            assertThat(written.get(), lessThan(16L * AnswerLimits.MAX_INCOMPLETE_BYTES));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection: close\r\nContent-Length: 0\r\n\r\n", "\r\n"})
    void breaksIfTheConnectionEndsWithARepeatedAnswer(String framing) throws Exception {
        try (FakeServer server = startAndRefuse((_request, c) -> {
            c.write(COPY + framing);
            throw new IOException("end of the connection");
        })) {
            assertThat(send(server, "POST", "a"), is(new Ended(AttemptEnd.BROKEN, 0, "")));
        }
    }

    /** Guards against repeated answers that prolong the time in which the own answer must begin. */
    @Test
    void keepsItsTimeoutWhileRepeatedAnswersArrive() throws Exception {
        try (FakeServer server = startAndRefuse((request, c) -> {
            for (int i = 0; i < 6; i++) {
                c.write(COPY + "Content-Length: 0\r\n\r\n");
                Thread.sleep(200);
            }
            c.write(own(request));
        })) {
            AttemptLimits limits = new AttemptLimits(500, 5_000, false);
            long startNanos = System.nanoTime();
            Ended ended = send(spec(server.port(), "POST", "a", EMPTY, limits));

            assertThat(ended, is(new Ended(AttemptEnd.SILENT, 0, "")));
            assertThat(System.nanoTime() - startNanos, lessThan(TimeUnit.MILLISECONDS.toNanos(1_000)));
            Eventually.await("the connection is closed", () -> server.disconnects() == 1);
        }
    }

    @Test
    void closesItsConnectionWhenCancelledInsideARepeatedAnswer() throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        try (FakeServer server = startAndRefuse((_request, c) -> {
            c.write(COPY + "Content-Length: 10\r\n\r\nhalf");
            written.countDown();
        })) {
            AtomicReference<Attempt> attempt = new AtomicReference<>();
            CompletableFuture<Ended> ended = start(spec(server.port(), "POST", "a", EMPTY, PATIENT), attempt);
            assertThat(written.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(true));
            Thread.sleep(50);
            worker.getIoThread(0).execute(() -> attempt.get().cancel());

            Eventually.await("the connection is closed", () -> server.disconnects() == 1);
            assertThat(ended.isDone(), is(false));
        }
    }

    /** A pause concerns the body of the own answer, which has not begun. */
    @Test
    void dropsARepeatedAnswerWhilePaused() throws Exception {
        CountDownLatch resumed = new CountDownLatch(1);
        try (FakeServer server = startAndRefuse((request, c) -> {
            c.write(COPY + "Content-Length: 4\r\n\r\nfu");
            resumed.await();
            c.write("ll" + own(request));
        })) {
            AtomicReference<Attempt> attempt = new AtomicReference<>();
            CompletableFuture<Ended> ended = start(spec(server.port(), "POST", "a", EMPTY, PATIENT), attempt);
            Eventually.await("the request arrives", () -> server.requests().size() == 2);
            // A task that is queued only may run after what the server sends next has been read.
            CompletableFuture.runAsync(() -> attempt.get().pause(), worker.getIoThread(0))
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            resumed.countDown();
            Thread.sleep(50);
            assertThat(ended.isDone(), is(false));
            worker.getIoThread(0).execute(() -> attempt.get().resume());

            assertThat(
                    ended.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
        }
    }

    /** The rest of the request would be taken for the next one. */
    @Test
    void breaksIfItsRequestIsNotSentCompletely() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int port = listener.getLocalPort();
            CompletableFuture<Ended> refused =
                    start(spec(port, "POST", REFUSED, EMPTY, PATIENT), new AtomicReference<>());
            try (Socket socket = listener.accept()) {
                byte[] copy = (COPY + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
                readHead(socket);
                socket.getOutputStream().write(copy);
                assertThat(refused.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).end(), is(AttemptEnd.DECLINED));

                HttpBody body = HttpBody.of(new byte[16 * AnswerLimits.MAX_INCOMPLETE_BYTES]);
                CompletableFuture<Ended> ended = start(spec(port, "POST", "a", body, PATIENT), new AtomicReference<>());
                readHead(socket);
                socket.getOutputStream().write(copy);

                assertThat(ended.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(new Ended(AttemptEnd.BROKEN, 0, "")));
            }
        }
    }

    private static void readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            assertThat("the connection is open", next, is(not(-1)));
            head.append((char) next);
        }
    }

    /** Guards against waiting for an answer that a server has sent to another request on another connection. */
    @Test
    void breaksAtOnceAtAnAnswerToARequestOfAnotherConnection() throws Exception {
        try (FakeServer server =
                startAndRefuse((_request, c) -> c.answer(201, "X-Request-Id: elsewhere\r\n", "made"))) {
            long startNanos = System.nanoTime();

            assertThat(send(server, "POST", "a"), is(new Ended(AttemptEnd.BROKEN, 0, "")));
            assertThat(System.nanoTime() - startNanos, lessThan(TimeUnit.MILLISECONDS.toNanos(1_000)));
            Eventually.await("the connection is closed", () -> server.disconnects() == 1);
        }
    }
}
