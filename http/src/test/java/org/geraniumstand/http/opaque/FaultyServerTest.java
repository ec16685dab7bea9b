package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that whatever a server sends costs the attempt that it was sent for, and nothing else. */
final class FaultyServerTest extends OpaqueListenerFixture {
    /** Size of each part of an endless answer, in bytes. */
    private static final int PART_BYTES = 64 * 1024;

    /** Number of bytes after which a server stops writing an endless answer. */
    private static final long MAX_WRITTEN_BYTES = 64 * 1024 * 1024;

    /** Maximum number of bytes that may be read of an endless answer: the 1 MB limit plus loopback socket buffers. */
    private static final long MAX_READ_BYTES = 16 * 1024 * 1024;

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
            startChunks(c);
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
            startChunks(c);
            chunk(c, "id: 1\ndata: a\n\n");
            c.write("0\r\n\r\n");
        };
        Caller.Answer answer = callToTwoServers("/stream/", script);

        assertThat(answer.body(), is("id: 1\ndata: a\n\n"));
        assertThat(answer.complete(), is(true));
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

    /** Sends a call for each byte before which the server cuts its answer, and returns what the callers got. */
    private List<Caller.Answer> answersCutAtEachByte(String answer, String target) throws Exception {
        AtomicInteger cut = new AtomicInteger();
        List<Caller.Answer> answers = new ArrayList<>();
        try (FakeServer server = FakeServer.start((_request, c) -> {
            c.write(answer.substring(0, cut.get()));
            c.abort();
        })) {
            configure();
            for (int i = 0; i < answer.length(); i++) {
                cut.set(i);
                ServerId id = new ServerId("s" + i);
                register(id.value(), server.port(), 8);
                answers.add(call("POST", target, CALL_HEADERS, "x"));
                onThread(() -> dispatcher.fleet().onRemoved(id));
            }
            assertThat(server.requests(), hasSize(answer.length()));
        }
        return answers;
    }

    /** Guards against an answer that was cut in its head or body, and reaches the caller as a whole and empty or short one. */
    @ParameterizedTest
    @CsvSource({"length, /unsafe/", "chunks, /unsafe/", "length, /once/", "chunks, /once/"})
    void neverCompletesAnswerThatIsCutAtAnyByte(String framing, String target) throws Exception {
        String whole = framed(framing);
        List<Caller.Answer> answers = answersCutAtEachByte(whole, target);
        for (int i = 0; i < answers.size(); i++) {
            Caller.Answer answer = answers.get(i);
            assertThat("cut after " + i + " bytes", answer.status() == 200 && answer.complete(), is(false));
        }
    }

    /** An answer without length and chunks can be cut in its head, too. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n"})
    void neverCompletesUnframedAnswerThatIsCutInItsHead(String header) throws Exception {
        String head = "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + header + "\r\n";
        List<Caller.Answer> answers = answersCutAtEachByte(head, "/unsafe/");
        for (int i = 0; i < answers.size(); i++) {
            assertThat("cut after " + i + " bytes", answers.get(i).status(), is(502));
        }
    }

    /**
     * Guards against an answer that is no answer of HTTP, and leaves its call unanswered and its place at the server taken,
     * or reaches the caller.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 4",
                "HTTP/1.1 000 OK",
                "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked",
                "HTTP/1.1 099 OK\r\nContent-Length: 4",
                "HTTP/1.1 0200 OK\r\nContent-Length: 4",
                "HTTP/1.1 00200 OK\r\nContent-Length: 4",
                "HTTP/1.1 +200 OK\r\nContent-Length: 4",
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

    /** Returns a script that breaks a stream off when first called, then answers otherwise, then resumes the stream. */
    private FakeServer.Script breakOffThenAnswer(String answer) {
        AtomicInteger calls = new AtomicInteger();
        return (_request, c) -> {
            int number = calls.incrementAndGet();
            if (number == 2) {
                c.write(answer);
                throw new IOException("end of the connection");
            }
            startChunks(c);
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
        Caller.Answer answer = callToTwoServers("/stream/", script);

        assertThat(answer.body(), is("id: 1\ndata: a\n\n"));
        assertThat(answer.complete(), is(false));
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
        Caller.Answer answer = callToTwoServers("/stream/", script);

        assertThat(answer.body(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        assertThat(answer.complete(), is(true));
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
            startChunks(c);
            chunk(c, "id: 1\ndata: a\n\n");
            throw new IOException("simulated connection loss");
        })) {
            register(server);

            assertThat(call("POST", "/once/", CALL_HEADERS, "x").complete(), is(false));
        }
    }
}
