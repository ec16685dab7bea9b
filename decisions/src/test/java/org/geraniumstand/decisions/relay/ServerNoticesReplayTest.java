package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replays servers that announce in their answers that they leave, or that ask for a pause. */
final class ServerNoticesReplayTest {
    private static final RelayRoute SAFE = Calls.route(CallKind.SAFE, false, 2, 0);
    private static final RelayServer ONE = Calls.startedAt("one", Calls.PLAIN_SERVICE, 100);
    private static final RelayServer TWO = Calls.startedAt("two", Calls.PLAIN_SERVICE, 100);

    private final RelayDispatcher dispatcher =
            new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(1), Calls.EARLIER_START);
    private final List<RelayStep> steps = new ArrayList<>();
    private long number;

    @BeforeEach
    void start() {
        dispatcher.onConfiguration(Calls.configuration(1), 0);
        list(ONE, 0);
    }

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private void list(RelayServer server, long atMillis) {
        dispatcher.fleet().onListed(server, at(atMillis));
    }

    private RelayCall arrive(long atMillis) {
        steps.clear();
        RelayCall call = new RelayCall(
                number, Calls.head("attempt-" + number), SAFE, Optional.empty(), at(atMillis), at(atMillis + 5_000));
        number++;
        dispatcher.onArrival(call, at(atMillis), steps);
        return call;
    }

    private ServerId sentTo() {
        assertThat(steps, not(empty()));
        assertThat(steps.get(0), instanceOf(RelayStep.Send.class));
        return ((RelayStep.Send) steps.get(0)).server().id();
    }

    private void leave(RelayCall call, long atMillis) {
        dispatcher.fleet().onNotice(call.server(), true, OptionalLong.empty(), at(atMillis));
        dispatcher.onEnded(call, AttemptEnd.ANSWERED, at(atMillis), new ArrayList<>());
    }

    private void pause(RelayCall call, long pauseMillis, long atMillis) {
        dispatcher.fleet().onNotice(call.server(), false, OptionalLong.of(pauseMillis), at(atMillis));
        dispatcher.onEnded(call, AttemptEnd.DECLINED, at(atMillis), steps);
    }

    @Test
    void leavingServerGetsNoCallWhileItsEntrySaysReady() {
        leave(arrive(0), 10);
        list(TWO, 20);
        for (long millis = 30; millis < 20_000; millis += 500) {
            list(ONE, millis);
            RelayCall call = arrive(millis);
            assertThat(sentTo(), is(TWO.id()));
            dispatcher.onEnded(call, AttemptEnd.ANSWERED, at(millis), new ArrayList<>());
        }
    }

    @Test
    void leavingServerGetsNoCallAfterItsEntryLapsedAndCameBack() {
        leave(arrive(0), 10);
        list(TWO, 20);
        dispatcher.fleet().onRemoved(ONE.id());
        list(ONE, 5_000);
        arrive(5_010);

        assertThat(sentTo(), is(TWO.id()));
    }

    @Test
    void serverThatStartsAgainGetsCalls() {
        leave(arrive(0), 10);
        list(Calls.startedAt("one", Calls.PLAIN_SERVICE, 200), 5_000);
        arrive(5_010);

        assertThat(sentTo(), is(ONE.id()));
    }

    @Test
    void callIsWithdrawnFromAServerThatAnnouncedThatItLeaves() {
        RelayCall first = arrive(0);
        RelayCall second = arrive(1);
        leave(first, 10);
        list(TWO, 11);

        assertThat(dispatcher.withdraw(second, at(12), steps), is(true));
    }

    @Test
    void pausingServerGetsNoCallWhileAnotherHasCapacity() {
        list(TWO, 0);
        RelayCall first = arrive(0);
        ServerId paused = sentTo();
        pause(first, 1_000, 10);
        ServerId other = paused.equals(ONE.id()) ? TWO.id() : ONE.id();
        dispatcher.onEnded(first, AttemptEnd.ANSWERED, at(20), new ArrayList<>());
        for (long millis = 30; millis < 1_000; millis += 100) {
            RelayCall call = arrive(millis);
            assertThat(sentTo(), is(other));
            dispatcher.onEnded(call, AttemptEnd.ANSWERED, at(millis), new ArrayList<>());
        }
    }

    @Test
    void callWaitsUntilTheShortestPauseIsOver() {
        pause(arrive(0), 1_000, 10);
        steps.clear();
        for (long millis = 20; millis < 1_010; millis += 10) {
            dispatcher.onTick(at(millis), steps);
            assertThat(steps, empty());
        }
        dispatcher.onTick(at(1_010), steps);

        assertThat(sentTo(), is(ONE.id()));
    }

    @Test
    void callIsRefusedAtOnceWhenAllServersPauseBeyondItsDeadline() {
        pause(arrive(0), 60_000, 10);
        arrive(20);

        assertThat(steps.get(0), instanceOf(RelayStep.Refuse.class));
        assertThat(((RelayStep.Refuse) steps.get(0)).refusal().retryAfterMillis(), greaterThanOrEqualTo(59_000L));
    }

    @Test
    void callIsWithdrawnFromAServerThatAskedForAPause() {
        RelayCall first = arrive(0);
        RelayCall second = arrive(1);
        pause(first, 1_000, 10);
        list(TWO, 11);

        assertThat(dispatcher.withdraw(second, at(12), steps), is(true));
    }
}
