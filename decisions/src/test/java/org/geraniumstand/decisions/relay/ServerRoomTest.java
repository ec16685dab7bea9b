package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.EngineCapacity;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayService;
import org.junit.jupiter.api.Test;

final class ServerRoomTest {
    private static final ServiceSpeed SPEED = new ServiceSpeed();

    /** Tokens that an engine processes within the target of 600 ms, by the speed that is assumed at first. */
    private static final long TARGET_TOKENS = Math.round(600 / SPEED.prefillMillisPerToken());

    private final RelayService engines = Calls.engineService(0);
    private final ServerRoom room = new ServerRoom();
    private final ServerView engine = new ServerView(
            Calls.server("e", Calls.ENGINE_SERVICE, Calls.WEST, 0), new StoreStaleness(), new SlownessForecast(), 0);

    ServerRoomTest() {
        for (int i = 0; i < 100; i++) {
            room.pace().onStarted(600, 600, 0, 600);
        }
    }

    private boolean fits(long tokens, long waitMillis) {
        return room.fits(new CallNeeds(tokens, 100, waitMillis, 600), engine, engines, SPEED, 0);
    }

    @Test
    void idleEngineHasRoomForAnyCall() {
        assertThat(fits(100 * TARGET_TOKENS, 600), is(true));
        assertThat(fits(100 * TARGET_TOKENS, -1), is(true));
    }

    @Test
    void promptsThatWaitLeaveRoomForWhatBeginsInTime() {
        engine.onRemoteInFlight(1, TARGET_TOKENS / 4, 0);
        room.onMeanRemoteTokens(TARGET_TOKENS / 4.0);

        assertThat(fits(TARGET_TOKENS / 5, 600), is(true));
        assertThat(fits(TARGET_TOKENS / 5, 300), is(false));
        assertThat(fits(TARGET_TOKENS, 600), is(false));
    }

    @Test
    void lateCallFitsOnlyWhereNothingWaits() {
        engine.onRemoteInFlight(1, TARGET_TOKENS / 4, 0);
        room.onMeanRemoteTokens(TARGET_TOKENS / 4.0);
        assertThat(fits(10, -1), is(false));

        engine.onRemoteInFlight(1, 0, 0);
        room.onMeanRemoteTokens(0);
        assertThat(fits(10, -1), is(true));
        assertThat(fits(100 * TARGET_TOKENS, 600), is(true));
    }

    @Test
    void anyCallFitsWhileAnswersBeginSoon() {
        engine.onRemoteInFlight(1, 10 * TARGET_TOKENS, 0);
        assertThat(fits(TARGET_TOKENS, 600), is(false));

        for (int i = 0; i < 100; i++) {
            room.pace().onStarted(50, 50, 0, 600);
        }
        assertThat(fits(TARGET_TOKENS, 600), is(true));
    }

    @Test
    void answersThatBeginLateLeaveLessRoom() {
        engine.onRemoteInFlight(1, 0, 0);
        assertThat(fits(TARGET_TOKENS / 2, 600), is(true));

        for (int i = 0; i < 100; i++) {
            room.pace().onStarted(100, 300, 0, 600);
        }
        engine.onRemoteInFlight(1, TARGET_TOKENS / 10, 0);
        room.onMeanRemoteTokens(TARGET_TOKENS / 10.0);
        assertThat(fits(TARGET_TOKENS / 2, 600), is(false));
    }

    @Test
    void oldFiguresOfOneEngineCountLessThanTheMeanOfAll() {
        engine.onRemoteInFlight(1, 10 * TARGET_TOKENS, -1_000 * Calls.MILLI);
        room.onMeanRemoteTokens(TARGET_TOKENS / 10.0);

        assertThat(fits(TARGET_TOKENS / 10, 600), is(true));
    }

    @Test
    void memoryLimitsWhatFits() {
        RelayService small = new RelayService(
                Calls.ENGINE_SERVICE, 100, 0, 0, Optional.of(new EngineCapacity(4, 1_000)), Optional.empty());
        RelayCall call = Calls.call(1, Calls.route(CallKind.STREAM, false, 1, 0), new PromptPart(1, 600));
        call.send(engine, 0, 0);

        assertThat(room.fits(new CallNeeds(10, 300, 600, 600), engine, small, SPEED, 0), is(true));
        assertThat(room.fits(new CallNeeds(10, 500, 600, 600), engine, small, SPEED, 0), is(false));

        call.release(true);
        assertThat(room.fits(new CallNeeds(10, 500, 600, 600), engine, small, SPEED, 0), is(true));
    }
}
