package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a part of an answer that its caller takes for a whole one, as the answer ends with its connection. */
@Timeout(60)
final class CutStreamTest extends OpaqueListenerFixture {
    private static final String PART = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String WHOLE = PART + "id: 3\ndata: c\n\n";

    /** More than is kept of a plain answer until it is whole. */
    private static final String LARGE = "x".repeat(600_000);

    /** What callers speak, and whether the process is stopping. */
    private enum Form {
        PERSISTENT("HTTP/1.1", "", false),
        CLOSING("HTTP/1.1", "Connection: close\r\n", false),
        STOPPING("HTTP/1.1", "", true),
        OLD("HTTP/1.0", "", false),
        OLD_PERSISTENT("HTTP/1.0", "Connection: keep-alive\r\n", false),
        OLD_STOPPING("HTTP/1.0", "Connection: keep-alive\r\n", true);

        private final String protocol;
        private final String headers;
        private final boolean stopping;

        Form(String protocol, String headers, boolean stopping) {
            this.protocol = protocol;
            this.headers = headers;
            this.stopping = stopping;
        }
    }

    private Caller send(Form form, String target) throws Exception {
        if (form.stopping) {
            listener.disableKeepAlive();
        }
        Caller caller = new Caller(port);
        caller.write("POST " + target + ' ' + form.protocol + "\r\nHost: x\r\n" + CALL_HEADERS + form.headers
                + "Content-Length: 1\r\n\r\nx");
        return caller;
    }

    private Caller.Answer read(Form form, String target, FakeServer.Script script) throws Exception {
        try (FakeServer server = FakeServer.start(script)) {
            register(server);
            try (Caller caller = send(form, target)) {
                return caller.read("POST");
            }
        }
    }

    private static void begin(FakeServer.Connection connection, String part) throws IOException {
        startChunks(connection);
        chunk(connection, part);
    }

    private static void breakOff(FakeServer.Connection connection, String part) throws IOException {
        begin(connection, part);
        throw new IOException("simulated connection loss");
    }

    private static void sendWhole(FakeServer.Connection connection, String body) throws IOException {
        begin(connection, body);
        connection.write("0\r\n\r\n");
    }

    @ParameterizedTest
    @EnumSource
    void streamThatItsServerBreaksOffLooksCut(Form form) throws Exception {
        Caller.Answer answer = read(form, "/once/", (_request, c) -> breakOff(c, PART));

        assertThat(answer.body(), is(PART));
        assertThat(answer.complete(), is(false));
    }

    @ParameterizedTest
    @EnumSource
    void streamWhoseTimeIsOverLooksCut(Form form) throws Exception {
        Caller.Answer answer = read(form, "/once/", (_request, c) -> {
            begin(c, PART);
            c.stallUntilClosed();
        });

        assertThat(answer.body(), is(PART));
        assertThat(answer.complete(), is(false));
    }

    @ParameterizedTest
    @EnumSource
    void streamThatAStoppingProcessEndsLooksCut(Form form) throws Exception {
        FakeServer.Script script = (_request, c) -> {
            begin(c, PART);
            c.stallUntilClosed();
        };
        try (FakeServer server = FakeServer.start(script)) {
            register(server);
            try (Caller caller = send(form, "/once/")) {
                caller.awaitAnswer();
                listener.answerOpenCalls();
                Caller.Answer answer = caller.read("POST");

                assertThat(answer.body(), is(PART));
                assertThat(answer.complete(), is(false));
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void largePlainAnswerThatItsServerBreaksOffLooksCut(Form form) throws Exception {
        Caller.Answer answer = read(form, "/unsafe/", (_request, c) -> breakOff(c, LARGE));

        assertThat(answer.complete(), is(false));
    }

    @ParameterizedTest
    @EnumSource
    void wholeAnswersLookWhole(Form form) throws Exception {
        Caller.Answer stream = read(form, "/once/", (_request, c) -> sendWhole(c, WHOLE));
        Caller.Answer plain = read(form, "/unsafe/", (_request, c) -> sendWhole(c, LARGE));

        assertThat(stream.body(), is(WHOLE));
        assertThat(stream.complete(), is(true));
        assertThat(plain.body(), is(LARGE));
        assertThat(plain.complete(), is(true));
    }
}
