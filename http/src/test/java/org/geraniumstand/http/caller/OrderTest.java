package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimState;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.Stand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class OrderTest {
    private static final String KEY = "Idempotency-Key: order 7\r\n";
    private static final FakeServer.Script MADE =
            (_request, connection) -> connection.answer(201, "Content-Type: text/plain\r\n", "made");
    private static final FakeServer.Script CUT = (_request, connection) -> connection.cut();

    @Test
    void replaysRecordedAnswer() throws IOException {
        try (Stand stand = new Stand(MADE)) {
            Caller.Answer first = stand.call("POST", "/orders", KEY, "one board");
            Caller.Answer second = stand.call("POST", "/orders", KEY, "one board");

            assertThat(second.status(), is(first.status()));
            assertThat(second.body(), is("made"));
            assertThat(second.header("content-type"), is("text/plain"));
            assertThat(stand.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void replaysServerErrorToo() throws IOException {
        try (Stand stand = new Stand((_request, connection) -> connection.answer(500, "", "broke"))) {
            assertThat(stand.call("POST", "/orders", KEY, "one board").status(), is(500));
            assertThat(stand.call("POST", "/orders", KEY, "one board").body(), is("broke"));
            assertThat(stand.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void repeatWhileTheOrderRunsGetsItsAnswer() throws IOException, InterruptedException {
        FakeServer.Script slow = (_request, connection) -> {
            Thread.sleep(300);
            connection.answer(201, "", "made");
        };
        try (Stand stand = new Stand(slow);
                Caller first = new Caller(stand.listener().port())) {
            first.send("POST", "/orders", KEY, "one board");
            Eventually.await(
                    "the order arrives", () -> stand.server(0).requests().size() == 1);

            assertThat(stand.call("POST", "/orders", KEY, "one board").body(), is("made"));
            assertThat(stand.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void tellsThatLargeAnswerIsNotKept() throws IOException {
        String large = "x".repeat(RecordedAnswer.MAX_BODY_BYTES + 1);
        try (Stand stand = new Stand((_request, connection) -> connection.answer(201, "", large))) {
            assertThat(stand.call("POST", "/orders", KEY, "one board").body(), is(large));
            Caller.Answer second = stand.call("POST", "/orders", KEY, "one board");

            assertThat(second.status(), is(409));
            assertThat(second.body(), containsString("already-run"));
            assertThat(second.body(), containsString("\"outcome\":\"ran\""));
        }
    }

    @Test
    void refusesKeyOfAnotherRequest() throws IOException {
        try (Stand stand = new Stand(MADE)) {
            stand.call("POST", "/orders", KEY, "one board");

            assertThat(stand.call("POST", "/orders", KEY, "two boards").status(), is(422));
            assertThat(stand.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void neverRunsOrderOfUnknownOutcomeAgain() throws IOException {
        try (Stand stand = new Stand(CUT)) {
            assertThat(stand.call("POST", "/orders", KEY, "one board").status(), is(502));
            Caller.Answer second = stand.call("POST", "/orders", KEY, "one board");

            assertThat(second.status(), is(409));
            assertThat(second.body(), containsString("key-unsettled"));
            assertThat(second.body(), containsString("\"outcome\":\"unknown\""));
            assertThat(stand.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void looksUpOrderOfUnknownOutcome() throws IOException {
        FakeServer.Script desk = (request, connection) -> {
            if (request.method().equals("GET")) {
                connection.answer(200, "", "found");
            } else {
                connection.cut();
            }
        };
        try (Stand stand = new Stand(desk)) {
            stand.call("POST", "/traced", KEY, "one board");

            assertThat(stand.call("POST", "/traced", KEY, "one board").body(), is("found"));
            assertThat(stand.server(0).requests().get(1).target(), is("/orders/by-key/order%207"));
            assertThat(stand.call("POST", "/traced", KEY, "one board").body(), is("found"));
            assertThat(stand.server(0).requests(), hasSize(2));
        }
    }

    @Test
    void keepsOutcomeUnknownWhenLookupFindsNothing() throws IOException {
        FakeServer.Script desk = (request, connection) -> {
            if (request.method().equals("GET")) {
                connection.answer(404, "X-Outcome: not-run\r\n", "");
            } else {
                connection.cut();
            }
        };
        try (Stand stand = new Stand(desk)) {
            stand.call("POST", "/traced", KEY, "one board");

            assertThat(stand.call("POST", "/traced", KEY, "one board").status(), is(409));
            assertThat(stand.server(0).requests(), hasSize(2));
        }
    }

    @Test
    void releasesClaimOfOrderProvenNotRun() throws IOException {
        FakeServer.Script declines = (_request, connection) -> connection.answer(503, "X-Outcome: not-run\r\n", "busy");
        try (Stand stand = new Stand(declines)) {
            Caller.Answer answer = stand.call("POST", "/orders", KEY, "one board");

            assertThat(answer.body(), containsString("\"outcome\":\"not-run\""));
            assertThat(stand.orders().settled(), contains(ClaimChange.Kind.NOT_RUN));
        }
    }

    @Test
    void refusesKeyedOrderAtOnceWhenStoreIsOut() throws IOException {
        try (Stand stand = new Stand(MADE)) {
            stand.orders().fail();
            Caller.Answer keyed = stand.call("POST", "/orders", KEY, "one board");

            assertThat(keyed.status(), is(503));
            assertThat(keyed.body(), containsString("\"outcome\":\"not-run\""));
            assertThat(keyed.header("retry-after"), is("1"));
            assertThat(stand.server(0).requests(), empty());
            assertThat(stand.call("POST", "/orders", "", "one board").status(), is(201));
        }
    }

    @Test
    void recordsAnswerThatCallerDidNotWaitFor() throws IOException, InterruptedException {
        FakeServer.Script slow = (_request, connection) -> {
            Thread.sleep(300);
            connection.answer(201, "", "made");
        };
        try (Stand stand = new Stand(slow)) {
            try (Caller caller = new Caller(stand.listener().port())) {
                caller.send("POST", "/orders", KEY, "one board");
                Eventually.await(
                        "the order arrives", () -> stand.server(0).requests().size() == 1);
            }
            Eventually.await(
                    "the answer is recorded",
                    () -> stand.orders().slot().claims().stream().anyMatch(c -> c.state() == ClaimState.ANSWERED));
            assertThat(stand.call("POST", "/orders", KEY, "one board").body(), is("made"));
            assertThat(stand.server(0).requests(), hasSize(1));
        }
    }
}
