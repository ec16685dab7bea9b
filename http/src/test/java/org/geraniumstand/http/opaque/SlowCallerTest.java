package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that slow callers lose a part of, or take a part of for a whole one. */
@Timeout(60)
final class SlowCallerTest extends OpaqueListenerFixture {
    private static final int RECEIVE_BYTES = 4_096;
    private static final int EVENTS = 100;

    private static String events(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= count; i++) {
            text.append("id: ")
                    .append(i)
                    .append("\ndata: ")
                    .append("x".repeat(1_000))
                    .append("\n\n");
        }
        return text.toString();
    }

    private Caller send(String protocol, String target) throws Exception {
        Caller caller = new Caller(port, RECEIVE_BYTES);
        caller.write("POST " + target + ' ' + protocol + "\r\nHost: x\r\n" + CALL_HEADERS
                + "Connection: close\r\nContent-Length: 1\r\n\r\nx");
        return caller;
    }

    private Caller.Answer readLate(String protocol, String target, FakeServer.Script script) throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        FakeServer.Script counted = (request, connection) -> {
            script.answer(request, connection);
            sent.countDown();
        };
        try (FakeServer server = FakeServer.start(counted)) {
            register(server);
            try (Caller caller = send(protocol, target)) {
                await(sent);
                TimeUnit.MILLISECONDS.sleep(500);
                return caller.read("POST");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void slowCallerGetsWholeStream(String protocol) throws Exception {
        Caller.Answer answer = readLate(protocol, "/once/", (_request, c) -> {
            startChunks(c);
            chunk(c, events(EVENTS));
            c.write("0\r\n\r\n");
        });

        assertThat(answer.body().length(), is(events(EVENTS).length()));
        assertThat(answer.complete(), is(true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void slowCallerGetsTheEventsBeforeACut(String protocol) throws Exception {
        Caller.Answer answer = readLate(protocol, "/once/", (_request, c) -> {
            startChunks(c);
            chunk(c, events(EVENTS));
            c.abort();
        });

        assertThat(answer.complete(), is(false));
        assertThat(answer.body().length(), is(events(EVENTS).length()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void streamWithoutLengthOfAResetServerLooksCut(String protocol) throws Exception {
        Caller.Answer answer = readLate(protocol, "/once/", (_request, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "\r\n" + events(EVENTS));
            TimeUnit.MILLISECONDS.sleep(200);
            c.reset();
        });

        assertThat(answer.complete(), is(false));
    }
}
