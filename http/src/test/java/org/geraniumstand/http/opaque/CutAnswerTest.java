package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.EarlyServer;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.CallerLimits;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that callers never get a part of an answer, which a server sent before it had read their long request, as a whole one. */
@Timeout(60)
final class CutAnswerTest extends OpaqueListenerFixture {
    private static final long MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final String LONG = "x".repeat(16 * 1024 * 1024);
    private static final String PART = "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "\r\nid: 1\ndata: a\n\n";

    private static final String WHOLE = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private void configureLongBodies() throws InterruptedException {
        RelayConfiguration configuration = new RelayConfiguration(
                1,
                List.of(
                        route("/safe/", CallKind.SAFE, false, 10_000, 5_000),
                        route("/unsafe/", CallKind.UNSAFE, false, 10_000, 5_000),
                        route("/stream/", CallKind.STREAM, true, 10_000, 5_000),
                        route("/once/", CallKind.STREAM, false, 10_000, 5_000)),
                List.of(new RelayService(SERVICE, 100, 0, 0, Optional.empty(), Optional.empty())),
                List.of(new RelayTeam(new TeamId("shops"), List.of("right"), OptionalInt.empty(), false, 0, 0, 0)),
                new CallerLimits(16_384, MAX_BODY_BYTES, 10_000, 15_000));
        onThread(() -> dispatcher.onConfiguration(configuration, System.nanoTime()));
    }

    private Caller.Answer callLong(String target) throws Exception {
        return call("POST", target, "attempt: a-1\r\nkey: right\r\nwait: 10000\r\n", LONG);
    }

    @ParameterizedTest
    @EnumSource(EarlyServer.Close.class)
    void partIsNotTheAnswer(EarlyServer.Close close) throws Exception {
        try (EarlyServer server = EarlyServer.start(PART, close)) {
            configureLongBodies();
            register("s0", server.port(), 8);

            assertThat(callLong("/unsafe/").status(), is(502));
            assertThat(callLong("/once/").complete(), is(false));
            assertThat(server.requests(), is(2));
        }
    }

    @ParameterizedTest
    @EnumSource(EarlyServer.Close.class)
    void partIsReplacedOrContinuedByAnotherServer(EarlyServer.Close close) throws Exception {
        FakeServer.Script sound = (request, c) -> c.answer(
                200, SIGNED_HEADERS, "1".equals(request.headers().get("after")) ? "id: 2\ndata: b\n\n" : WHOLE);
        try (EarlyServer early = EarlyServer.start(PART, close);
                FakeServer server = FakeServer.start(sound)) {
            configureLongBodies();
            register("s0", early.port(), 8);
            register("s1", server.port(), 8);
            for (int i = 0; i < 4; i++) {
                Caller.Answer safe = callLong("/safe/" + i);
                Caller.Answer stream = callLong("/stream/" + i);

                assertThat(safe.body(), is(WHOLE));
                assertThat(stream.body(), is(WHOLE));
                assertThat(safe.complete() && stream.complete(), is(true));
            }
            assertThat(early.requests(), greaterThan(0));
        }
    }
}
