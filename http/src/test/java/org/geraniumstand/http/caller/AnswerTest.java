package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Configurations;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.Stand;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class AnswerTest {
    private static final FakeServer.Script WHOLE = (request, connection) -> connection.answer(
            201, "X-Request-Id: " + request.identity() + "\r\nETag: \"7\"\r\nLocation: /a\r\n", "made");
    private static final FakeServer.Script CUT_FIXED = (_request, connection) -> {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        connection.cut();
    };
    private static final FakeServer.Script CUT_CHUNKED = (_request, connection) -> {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        connection.cut();
    };
    private static final FakeServer.Script FAILS = (_request, connection) -> connection.answer(500, "", "broke");
    private static final long PART_PAUSE_MILLIS = 100;
    private static final FakeServer.Script SILENT = (_request, connection) -> connection.stayMute();

    @Test
    void relaysStatusHeadersAndBody() throws IOException {
        try (Stand stand = new Stand(WHOLE)) {
            Caller.Answer answer = stand.call("GET", "/pages/a%20b?q=1", "X-Request-Id: mine\r\n", "");

            assertThat(answer.status(), is(201));
            assertThat(answer.body(), is("made"));
            assertThat(answer.header("etag"), is("\"7\""));
            assertThat(answer.header("location"), is("/a"));
            assertThat(answer.header("x-request-id"), is("mine"));
            assertThat(stand.server(0).requests().get(0).target(), is("/pages/a%20b?q=1"));
        }
    }

    @Test
    void answersRequestWhoseBodyComesInParts() throws IOException, InterruptedException {
        try (Stand stand = new Stand(WHOLE);
                Caller caller = new Caller(stand.listener().port())) {
            caller.write("POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                    + "\r\nContent-Length: 8\r\n\r\n");
            Thread.sleep(PART_PAUSE_MILLIS);
            caller.write("half");
            Thread.sleep(PART_PAUSE_MILLIS);
            caller.write("rest");
            Caller.Answer answer = caller.read("POST");

            assertThat(answer.status(), is(201));
            assertThat(answer.body(), is("made"));
            assertThat(stand.server(0).requests().get(0).body(), is("halfrest"));
        }
    }

    @Test
    void closesConnectionsWhileTheProcessLeaves() throws IOException {
        try (Stand stand = new Stand(WHOLE)) {
            assertThat(connectionHeader(stand), is("keep-alive"));
            stand.listener().closeConnections();
            assertThat(connectionHeader(stand), is("close"));
        }
    }

    private static String connectionHeader(Stand stand) throws IOException {
        return stand.call("GET", "/pages", "Connection: keep-alive\r\n", "").header("connection");
    }

    @Test
    void answersHeadWithoutBody() throws IOException {
        try (Stand stand = new Stand(
                (_request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n"))) {
            Caller.Answer answer = stand.call("HEAD", "/pages", "", "");

            assertThat(answer.status(), is(200));
            assertThat(answer.header("content-length"), is("77"));
        }
    }

    @Test
    void repeatsIdempotentRequestAfterAnswerCutShort() throws IOException {
        try (Stand stand = new Stand(CUT_FIXED, CUT_CHUNKED, WHOLE)) {
            Caller.Answer answer = stand.call("GET", "/pages", "", "");

            assertThat(answer.body(), is("made"));
            assertThat(stand.core().ends(), contains(AttemptEnd.BROKEN, AttemptEnd.BROKEN, AttemptEnd.ANSWERED));
        }
    }

    @Test
    void repeatsIdempotentRequestAfterSilence() throws IOException {
        try (Stand stand = new Stand(SILENT, WHOLE)) {
            stand.core().allowSilence(200);

            assertThat(stand.call("GET", "/pages", "", "").body(), is("made"));
            assertThat(stand.core().ends(), contains(AttemptEnd.SILENT, AttemptEnd.ANSWERED));
        }
    }

    @Test
    void relaysLastServerErrorWhenRepeatsAreUsedUp() throws IOException {
        try (Stand stand = new Stand(FAILS, FAILS)) {
            Caller.Answer answer = stand.call("GET", "/pages", "", "");

            assertThat(answer.status(), is(500));
            assertThat(answer.body(), is("broke"));
            assertThat(answer.header("x-outcome"), is("unknown"));
        }
    }

    @Test
    void relaysServerErrorOfRequestThatMayNotBeRepeated() throws IOException {
        try (Stand stand = new Stand(FAILS, WHOLE)) {
            Caller.Answer answer = stand.call("POST", "/orders", "", "one board");

            assertThat(answer.status(), is(500));
            assertThat(answer.body(), is("broke"));
            assertThat(answer.header("x-outcome"), is("unknown"));
            assertThat(stand.server(1).requests(), empty());
        }
    }

    @Test
    void saysUnknownWhenOrderBreaksBeforeAnswer() throws IOException {
        try (Stand stand = new Stand((_request, connection) -> connection.cut(), WHOLE)) {
            Caller.Answer answer = stand.call("POST", "/orders", "", "one board");

            assertThat(answer.status(), is(502));
            assertThat(answer.body(), containsString("\"outcome\":\"unknown\""));
            assertThat(stand.server(1).requests(), empty());
        }
    }

    @Test
    void cutsConnectionWhenOrderAnswerIsCutShort() throws IOException {
        try (Stand stand = new Stand(CUT_FIXED, WHOLE)) {
            Caller.Answer answer = stand.call("POST", "/orders", "", "one board");

            assertThat(answer.whole(), is(false));
            assertThat(stand.server(1).requests(), empty());
        }
    }

    @Test
    void repeatsOrderThatServerVouchesNotToHaveRun() throws IOException {
        FakeServer.Script declines = (_request, connection) -> connection.answer(503, "X-Outcome: not-run\r\n", "busy");
        try (Stand stand = new Stand(declines, WHOLE)) {
            assertThat(stand.call("POST", "/orders", "", "one board").status(), is(201));
        }
        try (Stand stand = new Stand(declines)) {
            Caller.Answer answer = stand.call("POST", "/orders", "", "one board");

            assertThat(answer.status(), is(503));
            assertThat(answer.body(), containsString("\"outcome\":\"not-run\""));
        }
    }

    @Test
    void dropsCrossedAnswerWithItsConnection() throws IOException {
        FakeServer.Script crossed =
                (_request, connection) -> connection.answer(200, "X-Request-Id: another\r\n", "not yours");
        try (Stand stand = new Stand(crossed, WHOLE)) {
            assertThat(stand.call("GET", "/pages", "", "").body(), is("made"));
            assertThat(stand.core().ends(), contains(AttemptEnd.BROKEN, AttemptEnd.ANSWERED));
        }
    }

    @Test
    void neverRelaysLateAnswerOfEarlierAttempt() throws IOException, InterruptedException {
        FakeServer.Script late = (request, connection) -> {
            Thread.sleep(600);
            connection.answer(200, "X-Request-Id: " + request.identity() + "\r\n", "late");
        };
        FakeServer.Script slow = (request, connection) -> {
            Thread.sleep(150);
            WHOLE.answer(request, connection);
        };
        try (Stand stand = new Stand(late, slow)) {
            stand.core().allowSilence(300);
            try (Caller caller = new Caller(stand.listener().port())) {
                caller.send("GET", "/pages", "", "");
                assertThat(caller.read("GET").body(), is("made"));
            }
            Eventually.await(
                    "the late connection is closed", () -> stand.server(0).gone() == 1);
        }
    }

    @Test
    void cancelsIdempotentWorkWhenCallerLeaves() throws IOException, InterruptedException {
        FakeServer.Script half =
                (_request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        try (Stand stand = new Stand(half)) {
            try (Caller caller = new Caller(stand.listener().port())) {
                caller.send("GET", "/pages", "", "");
                Eventually.await(
                        "the request arrives", () -> stand.server(0).requests().size() == 1);
            }
            Eventually.await("the attempt is cancelled", () -> stand.server(0).gone() == 1);
            Eventually.await("the request is given up", () -> stand.core().abandoned());
        }
    }

    @Test
    void neverCancelsOrderWhenCallerLeaves() throws IOException, InterruptedException {
        FakeServer.Script slow = (_request, connection) -> {
            Thread.sleep(300);
            connection.answer(201, "", "made");
        };
        try (Stand stand = new Stand(slow)) {
            try (Caller caller = new Caller(stand.listener().port())) {
                caller.send("POST", "/orders", "", "one board");
                Eventually.await(
                        "the order arrives", () -> stand.server(0).requests().size() == 1);
            }
            Eventually.await("the answer is read", () -> stand.core().ends().size() == 1);
            assertThat(stand.core().ends(), contains(AttemptEnd.ANSWERED));
            assertThat(stand.core().abandoned(), is(false));
        }
    }

    @Test
    void holdsBackBackendServerWhileCallerIsSlow() throws IOException, InterruptedException {
        int chunks = 2_000;
        String chunk = "x".repeat(16 * 1024);
        AtomicInteger written = new AtomicInteger();
        FakeServer.Script large = (_request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + (long) chunks * chunk.length() + "\r\n\r\n");
            for (int i = 0; i < chunks; i++) {
                connection.write(chunk);
                written.incrementAndGet();
            }
        };
        try (Stand stand = new Stand(large);
                Caller caller = new Caller(stand.listener().port())) {
            stand.core().allowSilence(300);
            caller.send("GET", "/pages", "", "");
            Eventually.await("the server writes", () -> written.get() > 0);
            int before;
            do {
                before = written.get();
                Thread.sleep(700);
            } while (written.get() != before);
            assertThat(written.get(), lessThan(chunks));

            Caller.Answer answer = caller.read("GET");

            assertThat(answer.whole(), is(true));
            assertThat(answer.body().length(), equalTo(chunks * chunk.length()));
        }
    }

    @Test
    void servesBodyThatArrivesInPieces() throws IOException, InterruptedException {
        try (Stand stand = new Stand(WHOLE);
                Caller caller = new Caller(stand.listener().port())) {
            caller.write("POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                    + "\r\nContent-Length: 6\r\n\r\n");
            for (String piece : new String[] {"ab", "cd", "ef"}) {
                Thread.sleep(100);
                caller.write(piece);
            }
            assertThat(caller.read("POST").body(), is("made"));
            assertThat(stand.server(0).requests().get(0).body(), is("abcdef"));
        }
    }

    @Test
    void servesRequestsOneAfterAnotherOnOneConnection() throws IOException {
        try (Stand stand = new Stand(WHOLE);
                Caller caller = new Caller(stand.listener().port())) {
            for (int i = 0; i < 5; i++) {
                caller.send("GET", "/pages", "", "");
                assertThat(caller.read("GET").body(), is("made"));
            }
            caller.send("GET", "/pages", "", "");
            caller.send("GET", "/pages", "", "");
            assertThat(caller.read("GET").body(), is("made"));
            assertThat(caller.read("GET").body(), is("made"));
            assertThat(stand.server(0).requests(), hasSize(7));
        }
    }
}
