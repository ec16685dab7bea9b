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
import org.geraniumstand.http.fake.ListenerFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class OrderTest {
    private static final String KEY = "Idempotency-Key: order 7\r\n";
    private static final FakeServer.Script CREATED =
            (_request, connection) -> connection.answer(201, "Content-Type: text/plain\r\n", "made");
    private static final FakeServer.Script ABORTS = (_request, connection) -> connection.abort();

    @Test
    void replaysRecordedAnswer() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(CREATED)) {
            Caller.Answer first = fixture.call("POST", "/orders", KEY, "one board");
            Caller.Answer second = fixture.call("POST", "/orders", KEY, "one board");

            assertThat(second.status(), is(first.status()));
            assertThat(second.body(), is("made"));
            assertThat(second.header("content-type"), is("text/plain"));
            assertThat(fixture.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void replaysRecordedServerError() throws IOException {
        try (ListenerFixture fixture =
                new ListenerFixture((_request, connection) -> connection.answer(500, "", "broke"))) {
            assertThat(fixture.call("POST", "/orders", KEY, "one board").status(), is(500));
            assertThat(fixture.call("POST", "/orders", KEY, "one board").body(), is("broke"));
            assertThat(fixture.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void returnsAnswerOfOrderInProgressToDuplicate() throws IOException, InterruptedException {
        FakeServer.Script slow = (_request, connection) -> {
            Thread.sleep(300);
            connection.answer(201, "", "made");
        };
        try (ListenerFixture fixture = new ListenerFixture(slow);
                Caller first = new Caller(fixture.listener().port())) {
            first.send("POST", "/orders", KEY, "one board");
            Eventually.await(
                    "the order arrives", () -> fixture.server(0).requests().size() == 1);

            assertThat(fixture.call("POST", "/orders", KEY, "one board").body(), is("made"));
            assertThat(fixture.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void reportsAlreadyRunIfAnswerIsTooLargeToRecord() throws IOException {
        String large = "x".repeat(RecordedAnswer.MAX_BODY_BYTES + 1);
        try (ListenerFixture fixture =
                new ListenerFixture((_request, connection) -> connection.answer(201, "", large))) {
            assertThat(fixture.call("POST", "/orders", KEY, "one board").body(), is(large));
            Caller.Answer second = fixture.call("POST", "/orders", KEY, "one board");

            assertThat(second.status(), is(409));
            assertThat(second.body(), containsString("already-run"));
            assertThat(second.body(), containsString("\"outcome\":\"ran\""));
        }
    }

    @Test
    void rejectsKeyOfAnotherRequest() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(CREATED)) {
            fixture.call("POST", "/orders", KEY, "one board");

            assertThat(fixture.call("POST", "/orders", KEY, "two boards").status(), is(422));
            assertThat(fixture.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void neverRetriesOrderOfUnknownOutcome() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(ABORTS)) {
            assertThat(fixture.call("POST", "/orders", KEY, "one board").status(), is(502));
            Caller.Answer second = fixture.call("POST", "/orders", KEY, "one board");

            assertThat(second.status(), is(409));
            assertThat(second.body(), containsString("key-unsettled"));
            assertThat(second.body(), containsString("\"outcome\":\"unknown\""));
            assertThat(fixture.server(0).requests(), hasSize(1));
        }
    }

    @Test
    void looksUpOrderOfUnknownOutcome() throws IOException {
        FakeServer.Script orderDesk = (request, connection) -> {
            if (request.method().equals("GET")) {
                connection.answer(200, "", "found");
            } else {
                connection.abort();
            }
        };
        try (ListenerFixture fixture = new ListenerFixture(orderDesk)) {
            fixture.call("POST", "/traced", KEY, "one board");

            assertThat(fixture.call("POST", "/traced", KEY, "one board").body(), is("found"));
            assertThat(fixture.server(0).requests().get(1).target(), is("/orders/by-key/order%207"));
            assertThat(fixture.call("POST", "/traced", KEY, "one board").body(), is("found"));
            assertThat(fixture.server(0).requests(), hasSize(2));
        }
    }

    @Test
    void reportsUnknownOutcomeWhenLookupFindsNoOrder() throws IOException {
        FakeServer.Script orderDesk = (request, connection) -> {
            if (request.method().equals("GET")) {
                connection.answer(404, "X-Outcome: not-run\r\n", "");
            } else {
                connection.abort();
            }
        };
        try (ListenerFixture fixture = new ListenerFixture(orderDesk)) {
            fixture.call("POST", "/traced", KEY, "one board");

            assertThat(fixture.call("POST", "/traced", KEY, "one board").status(), is(409));
            assertThat(fixture.server(0).requests(), hasSize(2));
        }
    }

    @Test
    void releasesClaimOfOrderProvenNotRun() throws IOException {
        FakeServer.Script declines = (_request, connection) -> connection.answer(503, "X-Outcome: not-run\r\n", "busy");
        try (ListenerFixture fixture = new ListenerFixture(declines)) {
            Caller.Answer answer = fixture.call("POST", "/orders", KEY, "one board");

            assertThat(answer.body(), containsString("\"outcome\":\"not-run\""));
            assertThat(fixture.claims().settled(), contains(ClaimChange.Kind.NOT_RUN));
        }
    }

    @Test
    void rejectsOrderWithKeyAtOnceWhenStoreIsUnavailable() throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(CREATED)) {
            fixture.claims().makeUnavailable();
            Caller.Answer withKey = fixture.call("POST", "/orders", KEY, "one board");

            assertThat(withKey.status(), is(503));
            assertThat(withKey.body(), containsString("\"outcome\":\"not-run\""));
            assertThat(withKey.header("retry-after"), is("1"));
            assertThat(fixture.server(0).requests(), empty());
            assertThat(fixture.call("POST", "/orders", "", "one board").status(), is(201));
        }
    }

    @Test
    void recordsAnswerAfterCallerDisconnects() throws IOException, InterruptedException {
        FakeServer.Script slow = (_request, connection) -> {
            Thread.sleep(300);
            connection.answer(201, "", "made");
        };
        try (ListenerFixture fixture = new ListenerFixture(slow)) {
            try (Caller caller = new Caller(fixture.listener().port())) {
                caller.send("POST", "/orders", KEY, "one board");
                Eventually.await(
                        "the order arrives", () -> fixture.server(0).requests().size() == 1);
            }
            Eventually.await(
                    "the answer is recorded",
                    () -> fixture.claims().slot().claims().stream().anyMatch(c -> c.state() == ClaimState.ANSWERED));
            assertThat(fixture.call("POST", "/orders", KEY, "one board").body(), is("made"));
            assertThat(fixture.server(0).requests(), hasSize(1));
        }
    }
}
