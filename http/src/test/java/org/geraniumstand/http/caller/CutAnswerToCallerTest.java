package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.http.fake.Configurations;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.ListenerFixture;
import org.geraniumstand.model.id.RequestId;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that each kind of caller can tell an answer that was cut short from a whole one. */
@Timeout(60)
final class CutAnswerToCallerTest {
    private static final String PATH = "/v1/chat/completions";
    private static final String STREAM = "POST " + PATH;
    private static final String RESUMED = "Last-Event-ID: 1\r\n";
    private static final String BODY =
            "{\"stream\":true,\"max_tokens\":6,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final int PART_BYTES = 10_000;
    private static final int PARTS = 60;
    private static final long SLOW_READER_MILLIS = 500;

    private static final FakeServer.Script WHOLE_STREAM = (_request, connection) -> {
        connection.startStream();
        for (int i = 0; i < 6; i++) {
            connection.token("t" + i + " ");
        }
        connection.endStream();
    };

    private static final FakeServer.Script BREAKS_OFF = (_request, connection) -> {
        connection.startStream();
        connection.token("t0 ");
        connection.token("t1 ");
        connection.abort();
    };

    private static final FakeServer.Script STALLS = (_request, connection) -> {
        connection.startStream();
        connection.token("t0 ");
        connection.token("t1 ");
        connection.stallUntilClosed();
    };

    private static final FakeServer.Script WHOLE_PAGE = (_request, connection) -> {
        writeParts(connection);
        connection.write("0\r\n\r\n");
    };

    private static final FakeServer.Script CUT_PAGE = (_request, connection) -> {
        writeParts(connection);
        connection.abort();
    };

    /** The ways of a caller to use its connection. */
    private enum Kind {
        PERSISTENT("HTTP/1.1", ""),
        CLOSING("HTTP/1.1", "Connection: close\r\n"),
        HTTP_1_0("HTTP/1.0", ""),
        HTTP_1_0_PERSISTENT("HTTP/1.0", "Connection: keep-alive\r\n");

        private final String version;
        private final String headers;

        Kind(String version, String headers) {
            this.version = version;
            this.headers = headers;
        }
    }

    /** The ends of an answer as HTTP tells them. */
    private enum End {
        COMPLETE,
        CUT
    }

    private record Answer(String body, End end) {}

    private static List<Arguments> callers() {
        List<Arguments> callers = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            callers.add(Arguments.of(kind, false));
            callers.add(Arguments.of(kind, true));
        }
        return callers;
    }

    @ParameterizedTest
    @MethodSource("callers")
    void completesWholeStream(Kind kind, boolean stopping) throws IOException {
        try (ListenerFixture fixture = start(stopping, WHOLE_STREAM)) {
            Answer answer = call(fixture, kind, STREAM, BODY);

            assertThat(answer.body(), containsString("[DONE]"));
            assertThat(answer.end(), is(End.COMPLETE));
        }
    }

    /** Guards against a reset that takes the rest of a whole answer from a caller that reads late. */
    @ParameterizedTest
    @MethodSource("callers")
    void completesWholePageForSlowReader(Kind kind, boolean stopping) throws IOException, InterruptedException {
        for (String method : List.of("GET /pages", "POST /orders")) {
            try (ListenerFixture fixture = start(stopping, WHOLE_PAGE);
                    RawCaller caller = RawCaller.send(fixture, kind, method, "", "")) {
                Thread.sleep(SLOW_READER_MILLIS);
                Answer answer = caller.readToEnd();

                assertThat(answer.body().length(), is(PARTS * PART_BYTES));
                assertThat(answer.end(), is(End.COMPLETE));
            }
        }
    }

    /** Guards against a stream that looks complete although its engine broke off and no retry is left. */
    @ParameterizedTest
    @MethodSource("callers")
    void showsThatAStreamBrokeOff(Kind kind, boolean stopping) throws IOException {
        try (ListenerFixture fixture = start(stopping, BREAKS_OFF)) {
            assertCutStream(call(fixture, kind, STREAM, BODY));
        }
    }

    /** Guards against a stream that looks complete although another process took it over. */
    @ParameterizedTest
    @MethodSource("callers")
    void showsThatAStreamWasHandedOver(Kind kind, boolean stopping) throws IOException, InterruptedException {
        try (ListenerFixture fixture = start(stopping, STALLS);
                RawCaller caller = RawCaller.send(fixture, kind, STREAM, "", BODY)) {
            AtomicReference<Optional<StreamSnapshot>> state = new AtomicReference<>(Optional.empty());
            caller.readUntil("t1 ");
            for (LiveStreams.Stream stream : fixture.listener().liveStreams().all()) {
                stream.suspend(snapshot -> {
                    state.set(snapshot);
                    stream.onHandedOver();
                });
            }
            Answer answer = caller.readToEnd();

            assertThat(state.get().isPresent(), is(true));
            assertThat(answer.body(), not(containsString("[DONE]")));
            assertThat(answer.end(), is(End.CUT));
        }
    }

    /** Guards against a stream that looks complete although it broke off at the process that took it over. */
    @ParameterizedTest
    @MethodSource("callers")
    void showsThatATakenStreamBrokeOff(Kind kind, boolean stopping) throws IOException, InterruptedException {
        AtomicReference<Runnable> breakOff = new AtomicReference<>();
        try (ListenerFixture holder = start(stopping, breaksOnOrder(breakOff))) {
            takeOver(holder);
            try (RawCaller caller = RawCaller.send(holder, kind, STREAM, RESUMED, BODY)) {
                caller.readUntil("t1 ");
                breakOff.get().run();

                assertThat(caller.readToEnd().end(), is(End.CUT));
            }
        }
    }

    /** Guards against a relayed stream that looks complete although it broke off at its holder, which is stopping or not. */
    @ParameterizedTest
    @MethodSource("callers")
    void showsThatAStreamBrokeOffAtItsHolder(Kind kind, boolean holderStopping)
            throws IOException, InterruptedException {
        AtomicReference<Runnable> breakOff = new AtomicReference<>();
        try (ListenerFixture holder = start(holderStopping, breaksOnOrder(breakOff));
                ListenerFixture relay = new ListenerFixture(
                        (_team, _name, callback) -> callback.accept(Optional.of(new HolderLookup.Holder(
                                "127.0.0.1", holder.listener().port()))),
                        WHOLE_STREAM)) {
            takeOver(holder);
            try (RawCaller caller = RawCaller.send(relay, kind, STREAM, RESUMED, BODY)) {
                caller.readUntil("t1 ");
                breakOff.get().run();

                assertThat(caller.readToEnd().end(), is(End.CUT));
            }
        }
    }

    /** Guards against an answer above the limit of what is buffered that looks complete although its server cut it. */
    @ParameterizedTest
    @MethodSource("callers")
    void showsThatALargePageWasCut(Kind kind, boolean stopping) throws IOException {
        try (ListenerFixture fixture = start(stopping, CUT_PAGE)) {
            assertThat(call(fixture, kind, "GET /pages", "").end(), is(End.CUT));
        }
    }

    /** Guards against an answer to a request that must not be retried that looks complete although its server cut it. */
    @ParameterizedTest
    @MethodSource("callers")
    void showsThatTheAnswerToAnOrderWasCut(Kind kind, boolean stopping) throws IOException {
        FakeServer.Script cut = (_request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
            connection.abort();
        };
        try (ListenerFixture fixture = start(stopping, cut)) {
            assertThat(call(fixture, kind, "POST /orders", "").end(), is(End.CUT));
        }
    }

    /** Guards against a stream that looks complete to a caller that ended its own sending, and is taken for gone. */
    @ParameterizedTest
    @MethodSource("callers")
    void showsThatAStreamEndsToCallerThatEndsItsSending(Kind kind, boolean stopping) throws IOException {
        try (ListenerFixture fixture = start(stopping, STALLS);
                RawCaller caller = RawCaller.send(fixture, kind, STREAM, "", BODY)) {
            caller.readUntil("t1 ");
            caller.endSending();

            assertThat(caller.readToEnd().end(), is(End.CUT));
        }
    }

    private static void assertCutStream(Answer answer) {
        assertThat(answer.body(), not(containsString("[DONE]")));
        assertThat(answer.end(), is(End.CUT));
    }

    private static ListenerFixture start(boolean stopping, FakeServer.Script script) {
        ListenerFixture fixture = new ListenerFixture(script);
        if (stopping) {
            fixture.listener().disableKeepAlive();
        }
        return fixture;
    }

    private static void takeOver(ListenerFixture holder) throws InterruptedException {
        StreamSnapshot snapshot = new StreamSnapshot(
                "counter",
                "mine",
                PATH,
                BODY,
                "t0 ",
                1,
                1,
                30_000,
                List.of("{\"choices\":[{\"delta\":{\"content\":\"t0 \"}}]}"));
        holder.listener().heldStreams().takeOver(snapshot, new RequestId("taken-1"));
        Eventually.await(
                "the stream runs at its holder",
                () -> holder.server(0).requests().size() == 1);
    }

    private static FakeServer.Script breaksOnOrder(AtomicReference<Runnable> order) {
        return (_request, connection) -> {
            connection.startStream();
            connection.token("t1 ");
            order.set(() -> abort(connection));
            connection.stallUntilClosed();
        };
    }

    private static void abort(FakeServer.Connection connection) {
        try {
            connection.abort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void writeParts(FakeServer.Connection connection) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String chunk = Integer.toHexString(PART_BYTES) + "\r\n" + "x".repeat(PART_BYTES) + "\r\n";
        for (int i = 0; i < PARTS; i++) {
            connection.write(chunk);
        }
    }

    private static Answer call(ListenerFixture fixture, Kind kind, String methodAndTarget, String body)
            throws IOException {
        try (RawCaller caller = RawCaller.send(fixture, kind, methodAndTarget, "", body)) {
            return caller.readToEnd();
        }
    }

    /** Sends one request over a connection of its own and reads the answer as far as HTTP tells its end. */
    private static final class RawCaller implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;
        private final StringBuilder body = new StringBuilder();
        private boolean headRead;
        private boolean chunked;
        private boolean ended;

        /** Bytes of the answer or the chunk that are left, or a negative number if only the connection tells the end. */
        private long remaining;

        private RawCaller(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
        }

        static RawCaller send(ListenerFixture fixture, Kind kind, String methodAndTarget, String headers, String body)
                throws IOException {
            Socket socket = new Socket(
                    InetAddress.getLoopbackAddress(), fixture.listener().port());
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            String request = methodAndTarget + " " + kind.version + "\r\nHost: x\r\nAuthorization: Bearer "
                    + Configurations.TOKEN + "\r\nX-Request-Id: mine\r\n" + kind.headers + headers
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new RawCaller(socket);
        }

        void readUntil(String text) throws IOException {
            while (body.indexOf(text) < 0) {
                readByte();
                if (ended) {
                    throw new IOException("the answer ended before " + text);
                }
            }
        }

        /** Reads the rest; a silent connection is no end, so its timeout is thrown. */
        Answer readToEnd() throws IOException {
            try {
                while (!ended) {
                    readByte();
                }
                return new Answer(body.toString(), End.COMPLETE);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException _e) {
                return new Answer(body.toString(), End.CUT);
            }
        }

        void endSending() throws IOException {
            socket.shutdownOutput();
        }

        private void readByte() throws IOException {
            if (!headRead) {
                readHead();
            }
            if (chunked && remaining == 0) {
                remaining = Long.parseLong(readLine(), 16);
                if (remaining == 0) {
                    readLine();
                }
            }
            if (remaining == 0) {
                ended = true;
                return;
            }
            int next = in.read();
            if (next < 0) {
                if (remaining > 0) {
                    throw new EOFException("the connection ended within the answer");
                }
                ended = true;
                return;
            }
            body.append((char) next);
            remaining--;
            if (chunked && remaining == 0) {
                readLine();
            }
        }

        private void readHead() throws IOException {
            headRead = true;
            remaining = -1;
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                String lower = line.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    remaining = Long.parseLong(
                            lower.substring("content-length:".length()).trim());
                } else if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) {
                    chunked = true;
                    remaining = 0;
                }
            }
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new EOFException("the connection ended within a line");
                }
                if (next != '\r') {
                    line.write(next);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
