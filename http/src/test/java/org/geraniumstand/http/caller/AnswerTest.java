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
import org.geraniumstand.http.fake.ListenerFixture;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class AnswerTest {
    private static final FakeServer.Script CREATED = (request, connection) -> connection.answer(
            201, "X-Request-Id: " + request.attemptId() + "\r\nETag: \"7\"\r\nLocation: /a\r\n", "made");
    private static final FakeServer.Script TRUNCATED_FIXED_LENGTH = (_request, connection) -> {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        connection.abort();
    };
    private static final FakeServer.Script TRUNCATED_CHUNKED = (_request, connection) -> {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        connection.abort();
    };
    private static final FakeServer.Script FAILS = (_request, connection) -> connection.answer(500, "", "broke");
    private static final long PART_PAUSE_MILLIS = 100;
    private static final FakeServer.Script STALLS = (_request, connection) -> connection.stallUntilClosed();

    @Test
    void relaysStatusHeadersAndBody() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(CREATED)) {
            Caller.Answer answer = fixture.call("GET", "/pages/a%20b?q=1", "X-Request-Id: mine\r\n", "");

            assertThat(answer.status(), is(201));
            assertThat(answer.body(), is("made"));
            assertThat(answer.header("etag"), is("\"7\""));
            assertThat(answer.header("location"), is("/a"));
            assertThat(answer.header("x-request-id"), is("mine"));
            assertThat(fixture.server(0).requests().get(0).target(), is("/pages/a%20b?q=1"));
        }
    }

    @Test
    void forwardsBodyThatArrivesInTwoParts() throws IOException, InterruptedException {
        try (ListenerFixture fixture = new ListenerFixture(CREATED);
                Caller caller = new Caller(fixture.listener().port())) {
            caller.write("POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                    + "\r\nContent-Length: 8\r\n\r\n");
            Thread.sleep(PART_PAUSE_MILLIS);
            caller.write("half");
            Thread.sleep(PART_PAUSE_MILLIS);
            caller.write("rest");
            Caller.Answer answer = caller.read("POST");

            assertThat(answer.status(), is(201));
            assertThat(answer.body(), is("made"));
            assertThat(fixture.server(0).requests().get(0).body(), is("halfrest"));
        }
    }

    @Test
    void closesConnectionsDuringShutdown() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(CREATED)) {
            assertThat(connectionHeader(fixture), is("keep-alive"));
            fixture.listener().disableKeepAlive();
            assertThat(connectionHeader(fixture), is("close"));
        }
    }

    private static String connectionHeader(ListenerFixture fixture) throws IOException {
        return fixture.call("GET", "/pages", "Connection: keep-alive\r\n", "").header("connection");
    }

    @Test
    void answersHeadRequestWithoutBody() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(
                (_request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n"))) {
            Caller.Answer answer = fixture.call("HEAD", "/pages", "", "");

            assertThat(answer.status(), is(200));
            assertThat(answer.header("content-length"), is("77"));
        }
    }

    @Test
    void retriesIdempotentRequestAfterTruncatedAnswer() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(TRUNCATED_FIXED_LENGTH, TRUNCATED_CHUNKED, CREATED)) {
            Caller.Answer answer = fixture.call("GET", "/pages", "", "");

            assertThat(answer.body(), is("made"));
            assertThat(
                    fixture.core().attemptEnds(), contains(AttemptEnd.BROKEN, AttemptEnd.BROKEN, AttemptEnd.ANSWERED));
        }
    }

    @Test
    void retriesIdempotentRequestAfterResponseTimeout() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(STALLS, CREATED)) {
            fixture.core().setResponseTimeout(200);

            assertThat(fixture.call("GET", "/pages", "", "").body(), is("made"));
            assertThat(fixture.core().attemptEnds(), contains(AttemptEnd.SILENT, AttemptEnd.ANSWERED));
        }
    }

    @Test
    void relaysLastServerErrorWhenRetriesAreExhausted() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(FAILS, FAILS)) {
            Caller.Answer answer = fixture.call("GET", "/pages", "", "");

            assertThat(answer.status(), is(500));
            assertThat(answer.body(), is("broke"));
            assertThat(answer.header("x-outcome"), is("unknown"));
        }
    }

    @Test
    void relaysServerErrorOfRequestThatMustNotBeRetried() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(FAILS, CREATED)) {
            Caller.Answer answer = fixture.call("POST", "/orders", "", "one board");

            assertThat(answer.status(), is(500));
            assertThat(answer.body(), is("broke"));
            assertThat(answer.header("x-outcome"), is("unknown"));
            assertThat(fixture.server(1).requests(), empty());
        }
    }

    @Test
    void reportsUnknownOutcomeWhenOrderFailsBeforeAnswer() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture((_request, connection) -> connection.abort(), CREATED)) {
            Caller.Answer answer = fixture.call("POST", "/orders", "", "one board");

            assertThat(answer.status(), is(502));
            assertThat(answer.body(), containsString("\"outcome\":\"unknown\""));
            assertThat(fixture.server(1).requests(), empty());
        }
    }

    @Test
    void closesConnectionWhenOrderAnswerIsTruncated() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(TRUNCATED_FIXED_LENGTH, CREATED)) {
            Caller.Answer answer = fixture.call("POST", "/orders", "", "one board");

            assertThat(answer.complete(), is(false));
            assertThat(fixture.server(1).requests(), empty());
        }
    }

    /** Guards against a repeated refusal without an id that is taken for the answer to the next order. */
    @Test
    void neverTakesARepeatedRefusalForTheAnswerToTheNextOrder() throws IOException {
        String refusal = "HTTP/1.1 503 Full\r\nX-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
        FakeServer.Script repeats = (request, connection) -> {
            if (request.body().equals("refused")) {
                connection.write(refusal);
                connection.repeatLater(refusal, 5);
                return;
            }
            Thread.sleep(20);
            connection.answer(201, "", "made");
        };
        try (ListenerFixture fixture = new ListenerFixture(repeats);
                Caller caller = new Caller(fixture.listener().port())) {
            for (int i = 0; i < 5; i++) {
                caller.send("POST", "/orders", "", "refused");
                assertThat(caller.read("POST").status(), is(503));
                caller.send("POST", "/orders", "", "one board");
                assertThat(caller.read("POST").status(), is(201));
            }
        }
    }

    @Test
    void retriesOrderThatServerDeclaresNotRun() throws IOException {
        FakeServer.Script declines = (_request, connection) -> connection.answer(503, "X-Outcome: not-run\r\n", "busy");
        try (ListenerFixture fixture = new ListenerFixture(declines, CREATED)) {
            assertThat(fixture.call("POST", "/orders", "", "one board").status(), is(201));
        }
        try (ListenerFixture fixture = new ListenerFixture(declines)) {
            Caller.Answer answer = fixture.call("POST", "/orders", "", "one board");

            assertThat(answer.status(), is(503));
            assertThat(answer.body(), containsString("\"outcome\":\"not-run\""));
        }
    }

    @Test
    void dropsConnectionAfterAnswerWithWrongRequestId() throws IOException {
        FakeServer.Script mismatched =
                (_request, connection) -> connection.answer(200, "X-Request-Id: another\r\n", "not yours");
        try (ListenerFixture fixture = new ListenerFixture(mismatched, CREATED)) {
            assertThat(fixture.call("GET", "/pages", "", "").body(), is("made"));
            assertThat(fixture.core().attemptEnds(), contains(AttemptEnd.BROKEN, AttemptEnd.ANSWERED));
        }
    }

    @Test
    void neverRelaysLateAnswerOfEarlierAttempt() throws IOException, InterruptedException {
        FakeServer.Script late = (request, connection) -> {
            Thread.sleep(600);
            connection.answer(200, "X-Request-Id: " + request.attemptId() + "\r\n", "late");
        };
        FakeServer.Script slow = (request, connection) -> {
            Thread.sleep(150);
            CREATED.answer(request, connection);
        };
        try (ListenerFixture fixture = new ListenerFixture(late, slow)) {
            fixture.core().setResponseTimeout(300);
            try (Caller caller = new Caller(fixture.listener().port())) {
                caller.send("GET", "/pages", "", "");
                assertThat(caller.read("GET").body(), is("made"));
            }
            Eventually.await(
                    "the late connection is closed", () -> fixture.server(0).disconnects() == 1);
        }
    }

    @Test
    void cancelsIdempotentRequestWhenCallerDisconnects() throws IOException, InterruptedException {
        FakeServer.Script partial =
                (_request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        try (ListenerFixture fixture = new ListenerFixture(partial)) {
            try (Caller caller = new Caller(fixture.listener().port())) {
                caller.send("GET", "/pages", "", "");
                Eventually.await(
                        "the request arrives",
                        () -> fixture.server(0).requests().size() == 1);
            }
            Eventually.await("the attempt is cancelled", () -> fixture.server(0).disconnects() == 1);
            Eventually.await(
                    "the disconnect of the caller is reported",
                    () -> fixture.core().anyCallerDisconnected());
        }
    }

    @Test
    void completesOrderWhenCallerDisconnects() throws IOException, InterruptedException {
        FakeServer.Script slow = (_request, connection) -> {
            Thread.sleep(300);
            connection.answer(201, "", "made");
        };
        try (ListenerFixture fixture = new ListenerFixture(slow)) {
            try (Caller caller = new Caller(fixture.listener().port())) {
                caller.send("POST", "/orders", "", "one board");
                Eventually.await(
                        "the order arrives", () -> fixture.server(0).requests().size() == 1);
            }
            Eventually.await(
                    "the answer is read", () -> fixture.core().attemptEnds().size() == 1);
            assertThat(fixture.core().attemptEnds(), contains(AttemptEnd.ANSWERED));
            assertThat(fixture.core().anyCallerDisconnected(), is(false));
        }
    }

    @Test
    void pausesBackendServerWhileCallerIsSlow() throws IOException, InterruptedException {
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
        try (ListenerFixture fixture = new ListenerFixture(large);
                Caller caller = new Caller(fixture.listener().port())) {
            fixture.core().setResponseTimeout(300);
            caller.send("GET", "/pages", "", "");
            Eventually.await("the server writes", () -> written.get() > 0);
            int before;
            do {
                before = written.get();
                Thread.sleep(700);
            } while (written.get() != before);
            assertThat(written.get(), lessThan(chunks));

            Caller.Answer answer = caller.read("GET");

            assertThat(answer.complete(), is(true));
            assertThat(answer.body().length(), equalTo(chunks * chunk.length()));
        }
    }

    @Test
    void forwardsBodyThatArrivesInManyParts() throws IOException, InterruptedException {
        try (ListenerFixture fixture = new ListenerFixture(CREATED);
                Caller caller = new Caller(fixture.listener().port())) {
            caller.write("POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                    + "\r\nContent-Length: 6\r\n\r\n");
            for (String part : new String[] {"ab", "cd", "ef"}) {
                Thread.sleep(100);
                caller.write(part);
            }
            assertThat(caller.read("POST").body(), is("made"));
            assertThat(fixture.server(0).requests().get(0).body(), is("abcdef"));
        }
    }

    @Test
    void servesConsecutiveRequestsOnOneConnection() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(CREATED);
                Caller caller = new Caller(fixture.listener().port())) {
            for (int i = 0; i < 5; i++) {
                caller.send("GET", "/pages", "", "");
                assertThat(caller.read("GET").body(), is("made"));
            }
            caller.send("GET", "/pages", "", "");
            caller.send("GET", "/pages", "", "");
            assertThat(caller.read("GET").body(), is("made"));
            assertThat(caller.read("GET").body(), is("made"));
            assertThat(fixture.server(0).requests(), hasSize(7));
        }
    }
}
