package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Outcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replays servers that name a limit in their answers. */
final class ServerLimitReplayTest {
    private static final RelayRoute SAFE = Calls.route(CallKind.SAFE, false, 2, 0);
    private static final RelayRoute STREAM = Calls.route(CallKind.STREAM, true, 2, 0);
    private static final double NONE = Double.POSITIVE_INFINITY;
    private static final RelayServer ONE = Calls.startedAt("one", Calls.PLAIN_SERVICE, 100);
    private static final RelayServer TWO = Calls.startedAt("two", Calls.PLAIN_SERVICE, 100);

    private final RelayDispatcher dispatcher =
            new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(1), Calls.EARLIER_START);
    private final ServerLimitExchange exchange = new ServerLimitExchange(dispatcher);
    private final List<RelayStep> steps = new ArrayList<>();
    private long number;

    @BeforeEach
    void start() {
        dispatcher.onConfiguration(Calls.configuration(1), 0);
        dispatcher.processes().onLive(2, 0);
        dispatcher.fleet().onListed(ONE, 0);
    }

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private RelayCall arrive(RelayRoute route, long atMillis, long deadlineMillis) {
        steps.clear();
        RelayCall call = new RelayCall(
                number, Calls.head("attempt-" + number), route, Optional.empty(), at(atMillis), at(deadlineMillis));
        number++;
        dispatcher.onArrival(call, at(atMillis), steps);
        return call;
    }

    private void answer(RelayCall call, double perSecond, long atMillis) {
        dispatcher.fleet().limits().onAnswer(call.server().server(), perSecond, call.sentNanos(), at(atMillis));
        dispatcher.onEnded(call, AttemptEnd.ANSWERED, at(atMillis), new ArrayList<>());
    }

    private ServerId sentTo() {
        assertThat(steps.get(0), instanceOf(RelayStep.Send.class));
        return ((RelayStep.Send) steps.get(0)).server().id();
    }

    @Test
    void callGoesToAnotherServerWhileTheLimitIsUsedUp() {
        answer(arrive(SAFE, 0, 5_000), 0.1, 10);
        dispatcher.fleet().onListed(TWO, at(10));
        int toLimited = 0;
        for (long millis = 20; millis < 4_000; millis += 50) {
            RelayCall call = arrive(SAFE, millis, millis + 5_000);
            toLimited += sentTo().equals(ONE.id()) ? 1 : 0;
            answer(call, sentTo().equals(ONE.id()) ? 0.1 : NONE, millis + 1);
        }

        assertThat(toLimited, lessThanOrEqualTo(1));
    }

    @Test
    void callThatWaitsForAConnectionIsWithdrawnWhenTheLimitBecomesKnown() {
        RelayCall first = arrive(SAFE, 0, 5_000);
        RelayCall second = arrive(SAFE, 1, 5_000);
        answer(first, 0.1, 10);
        dispatcher.fleet().onListed(TWO, at(11));
        steps.clear();

        assertThat(dispatcher.withdraw(second, at(12), steps), is(true));
        assertThat(sentTo(), is(TWO.id()));
    }

    @Test
    void callThatIsCountedAgainstTheLimitIsNotWithdrawn() {
        answer(arrive(SAFE, 0, 5_000), 1_000, 10);
        RelayCall call = arrive(SAFE, 2_000, 7_000);

        assertThat(sentTo(), is(ONE.id()));
        answer(arrive(SAFE, 2_010, 7_000), 0.1, 2_020);
        assertThat(dispatcher.withdraw(call, at(2_030), steps), is(false));
    }

    @Test
    void callIsRefusedAtOnceWithTheTimeUntilTheLimitAllowsIt() {
        answer(arrive(SAFE, 0, 5_000), 0.1, 10);
        long refusedAfter = 0;
        for (int i = 0; i < 2; i++) {
            arrive(SAFE, 20 + i, 520);
            assertThat(steps.get(0), instanceOf(RelayStep.Refuse.class));
            RelayStep.Refuse refuse = (RelayStep.Refuse) steps.get(0);
            assertThat(refuse.refusal().outcome(), is(Outcome.NOT_RUN));
            refusedAfter = refuse.refusal().retryAfterMillis();
        }

        assertThat(refusedAfter, greaterThan(500L));
    }

    @Test
    void callWaitsForTheLimitIfItsDeadlineAllows() {
        answer(arrive(SAFE, 0, 5_000), 1, 10);
        arrive(SAFE, 20, 60_000);
        long millis = 30;
        while (steps.isEmpty() && millis < 60_000) {
            dispatcher.onTick(at(millis), steps);
            millis += 10;
        }

        assertThat(sentTo(), is(ONE.id()));
    }

    @Test
    void serverWithoutLimitGetsAllCallsAgain() {
        answer(arrive(SAFE, 0, 5_000), 1, 10);
        dispatcher.fleet().limits().onAnswer(ONE, NONE, at(20), at(30));
        for (long millis = 40; millis < 80; millis += 10) {
            answer(arrive(SAFE, millis, millis + 5_000), NONE, millis + 1);
            assertThat(sentTo(), is(ONE.id()));
        }
    }

    @Test
    void serverThatStartsAgainGetsAllCalls() {
        answer(arrive(SAFE, 0, 5_000), 0.1, 10);
        dispatcher.fleet().onListed(Calls.startedAt("one", Calls.PLAIN_SERVICE, 200), at(20));
        for (long millis = 30; millis < 70; millis += 10) {
            arrive(SAFE, millis, millis + 5_000);
            assertThat(sentTo(), is(ONE.id()));
        }
    }

    /** The service allows 10 requests per second at a cold server; the server itself asks for one in ten seconds. */
    @Test
    void lowerOfTwoLimitsAppliesToAColdServer() {
        RelayServer cold = Calls.server("cold", Calls.ENGINE_SERVICE, Calls.WEST, 20_000);
        dispatcher.fleet().onRemoved(ONE.id());
        dispatcher.fleet().onListed(cold, 0);
        dispatcher.fleet().limits().onAnswer(cold, 0.1, 0, at(1));
        int sent = 0;
        for (long millis = 10; millis < 4_000; millis += 50) {
            RelayCall call = arrive(STREAM, millis, millis + 60_000);
            sent += (int)
                    steps.stream().filter(RelayStep.Send.class::isInstance).count();
            dispatcher.onAbandoned(call, at(millis + 1), new ArrayList<>());
        }

        assertThat(sent, lessThanOrEqualTo(1));
    }

    @Test
    void processReportsItsDemandForLimitedServers() {
        assertThat(exchange.report(at(0)), empty());
        answer(arrive(SAFE, 0, 5_000), 2, 10);
        List<LimitDemand> report = exchange.report(at(20));

        assertThat(report.size(), is(1));
        assertThat(report.get(0).limit().server(), is(ONE.id()));
        assertThat(report.get(0).callsPerSecond(), greaterThan(0.0));
    }

    @Test
    void processLearnsALimitFromAnAggregator() {
        RelayDispatcher other = new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(2), Calls.EARLIER_START);
        other.fleet().onListed(ONE, 0);
        ServerLimitExchange otherExchange = new ServerLimitExchange(other);
        answer(arrive(SAFE, 0, 5_000), 2, 10);
        ProcessId self = new ProcessId("self");
        exchange.onReport(self, exchange.report(at(20)), at(20));
        otherExchange.onShares(0, exchange.shares(new ProcessId("other"), at(20)), at(20));

        assertThat(other.fleet().limits().perSecond(ONE), is(OptionalDouble.of(2)));
    }
}
