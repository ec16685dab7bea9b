package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Outcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class RelayDispatcherTest {
    private static final RelayRoute SAFE = Calls.route(CallKind.SAFE, false, 2, 0);
    private static final RelayRoute UNSAFE = Calls.route(CallKind.UNSAFE, false, 1, 0);
    private static final RelayRoute STREAM = Calls.route(CallKind.STREAM, true, 2, 0);

    private final RelayDispatcher dispatcher =
            new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(1), Calls.EARLIER_START);
    private final List<RelayStep> steps = new ArrayList<>();

    @BeforeEach
    void applyConfiguration() {
        dispatcher.onConfiguration(Calls.configuration(1), 0);
    }

    private void register(RelayServer server) {
        dispatcher.fleet().onListed(server, 0);
    }

    private RelayStep arrive(RelayCall call, long nowNanos) {
        steps.clear();
        dispatcher.onArrival(call, nowNanos, steps);
        return steps.isEmpty() ? null : steps.get(0);
    }

    private static ServerId sentTo(RelayStep step) {
        assertThat(step, instanceOf(RelayStep.Send.class));
        return ((RelayStep.Send) step).server().id();
    }

    @Test
    void ignoresOlderConfiguration() {
        assertThat(dispatcher.onConfiguration(Calls.configuration(1), 0), is(false));
        assertThat(dispatcher.onConfiguration(Calls.configuration(2), 0), is(true));
    }

    @Test
    void refusesImmediatelyWithoutServer() {
        RelayStep step = arrive(Calls.call(1, SAFE), 0);

        assertThat(((RelayStep.Refuse) step).refusal().outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void prefersServerInLocalDataCentre() {
        register(Calls.server("far", Calls.PLAIN_SERVICE, Calls.EAST, 0));
        register(Calls.server("near", Calls.PLAIN_SERVICE, Calls.WEST, 0));

        assertThat(sentTo(arrive(Calls.call(1, SAFE), 0)), is(new ServerId("near")));
    }

    /** The server's entry is deleted between the selection of the server and the sending of the call. */
    @Test
    void withdrawsCallWhoseServerEntryIsDeletedBeforeSending() {
        register(Calls.server("near", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        RelayCall call = Calls.call(1, UNSAFE);
        arrive(call, 0);
        steps.clear();
        assertThat(dispatcher.withdraw(call, 0, steps), is(false));
        dispatcher.fleet().onRemoved(new ServerId("near"));
        register(Calls.server("far", Calls.PLAIN_SERVICE, Calls.EAST, 0));

        assertThat(dispatcher.withdraw(call, 0, steps), is(true));
        assertThat(sentTo(steps.get(0)), is(new ServerId("far")));
        assertThat(call.attempts(), is(1));
    }

    @Test
    void refusesWithdrawnCallAsNotRunWithoutOtherServer() {
        register(Calls.server("near", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        RelayCall call = Calls.call(1, UNSAFE);
        arrive(call, 0);
        dispatcher.fleet().onDataCentreState(Calls.WEST, true, 0);
        steps.clear();

        assertThat(dispatcher.withdraw(call, 0, steps), is(true));
        assertThat(((RelayStep.Refuse) steps.get(0)).refusal().outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void sendsNothingToDataCentreOutOfService() {
        register(Calls.server("out", Calls.PLAIN_SERVICE, Calls.EAST, 0));
        dispatcher.fleet().onDataCentreState(Calls.EAST, true, 0);

        assertThat(arrive(Calls.call(1, SAFE), 0), instanceOf(RelayStep.Refuse.class));
    }

    @Test
    void retriesAtOtherServerAfterBrokenConnection() {
        register(Calls.server("one", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        register(Calls.server("two", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        RelayCall call = Calls.call(1, SAFE);
        ServerId first = sentTo(arrive(call, 0));
        steps.clear();
        dispatcher.onEnded(call, AttemptEnd.BROKEN, Calls.MILLI, steps);

        assertThat(sentTo(steps.get(0)), is(not(first)));
    }

    /** 78 processes are partitioned so that each reaches only two neighbours, and their servers break every call. */
    @Test
    void keepsRetriesOfPartitionedProcessesWithinBudget() {
        int retries = 0;
        int calls = 0;
        for (int process = 0; process < 78; process++) {
            RelayDispatcher partitioned =
                    new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(process), Calls.EARLIER_START);
            partitioned.onConfiguration(Calls.configuration(1), 0);
            partitioned.processes().onLive(78, 0);
            partitioned.processes().onLive(3, Calls.MILLI);
            partitioned.fleet().onListed(Calls.server("one", Calls.PLAIN_SERVICE, Calls.WEST, 0), 0);
            partitioned.fleet().onListed(Calls.server("two", Calls.PLAIN_SERVICE, Calls.EAST, 0), 0);
            for (int i = 1; i <= 4; i++) {
                RelayCall call = Calls.call(i, SAFE);
                calls++;
                partitioned.onArrival(call, 2 * Calls.MILLI, new ArrayList<>());
                List<RelayStep> after = new ArrayList<>();
                partitioned.onEnded(call, AttemptEnd.BROKEN, 3 * Calls.MILLI, after);
                retries += (int) after.stream()
                        .filter(step -> step instanceof RelayStep.Send)
                        .count();
            }
        }

        assertThat((double) retries, lessThanOrEqualTo(calls * 0.2 + 50));
    }

    /**
     * All servers of a data centre crash and restart under new names at their addresses, while the old entries remain.
     */
    @Test
    void sendsNothingToServerSupersededAtItsAddress() {
        register(Calls.server("old", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        register(Calls.startedAt("new", Calls.PLAIN_SERVICE, 2));
        for (int i = 1; i <= 8; i++) {
            assertThat(sentTo(arrive(Calls.call(i, SAFE), 0)), is(new ServerId("new")));
        }
        dispatcher.fleet().onRemoved(new ServerId("new"));

        assertThat(sentTo(arrive(Calls.call(9, SAFE), 0)), is(new ServerId("old")));
    }

    @Test
    void ejectsServerReplacedAtItsAddress() {
        register(Calls.server("gone", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        register(Calls.server("here", Calls.PLAIN_SERVICE, Calls.EAST, 0));
        RelayCall call = Calls.call(1, SAFE);
        assertThat(sentTo(arrive(call, 0)), is(new ServerId("gone")));
        dispatcher.onReplaced(call, Calls.MILLI);
        steps.clear();
        dispatcher.onEnded(call, AttemptEnd.DECLINED, Calls.MILLI, steps);
        assertThat(sentTo(steps.get(0)), is(new ServerId("here")));

        assertThat(sentTo(arrive(Calls.call(2, SAFE), 500 * Calls.MILLI)), is(new ServerId("here")));
    }

    /** A slow version is ordered and many calls arrive at once, so that all servers of the old version are full. */
    @Test
    void sendsNothingToUnprovenOrderedVersion() {
        dispatcher.fleet().onVersionOrdered(Calls.ENGINE_SERVICE, new VersionId("v2"));
        register(Calls.ofVersion("old", "v1"));
        register(Calls.ofVersion("new", "v2"));
        Set<ServerId> used = new HashSet<>();
        for (int i = 1; i <= 20; i++) {
            if (arrive(Calls.call(i, STREAM), 0) instanceof RelayStep.Send send) {
                used.add(send.server().id());
            }
        }

        assertThat(used, is(Set.of(new ServerId("old"))));
    }

    @Test
    void sendsToOrderedVersionIfNoOtherVersionIsAvailable() {
        dispatcher.fleet().onVersionOrdered(Calls.ENGINE_SERVICE, new VersionId("v1"));
        register(Calls.ofVersion("one", "v1"));

        assertThat(sentTo(arrive(Calls.call(1, STREAM), 0)), is(new ServerId("one")));
    }

    @Test
    void sendsToAllVersionsAfterOrderIsRemoved() {
        register(Calls.ofVersion("old", "v1"));
        register(Calls.ofVersion("new", "v2"));
        dispatcher.fleet().onVersionOrdered(Calls.ENGINE_SERVICE, new VersionId("v2"));
        dispatcher.fleet().onVersionOrderRemoved(Calls.ENGINE_SERVICE);

        assertThat(dispatcher.fleet().eligibleServers(Calls.ENGINE_SERVICE).size(), is(2));
    }

    @Test
    void reportsUnknownOutcomeWhenUnsafeCallBreaks() {
        register(Calls.server("one", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        RelayCall call = Calls.call(1, UNSAFE);
        arrive(call, 0);
        steps.clear();
        dispatcher.onEnded(call, AttemptEnd.BROKEN, Calls.MILLI, steps);

        assertThat(((RelayStep.Refuse) steps.get(0)).refusal().outcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void queuesCallsWhileServersAreFullAndRefusesThemAtDeadline() {
        register(Calls.server("one", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        for (int i = 0; i < 10; i++) {
            assertThat(arrive(Calls.call(i, SAFE), 0), instanceOf(RelayStep.Send.class));
        }
        RelayCall queued = Calls.call(11, SAFE);
        arrive(queued, 0);
        assertThat(dispatcher.queuedCount(Calls.PLAIN_SERVICE), is(1));
        steps.clear();
        dispatcher.onTick(queued.deadlineNanos(), steps);

        assertThat(steps.get(0), instanceOf(RelayStep.Refuse.class));
    }

    /**
     * A service is full and no slot has become free for a second: of 20 calls that arrive then, most cannot be served.
     */
    @Test
    void refusesCallsOnArrivalThatCannotMeetDeadline() {
        register(Calls.server("one", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        for (int i = 0; i < 11; i++) {
            arrive(Calls.call(i, SAFE), 0);
        }
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            RelayStep step = arrive(Calls.call(1_000 + i, SAFE), 1_000 * Calls.MILLI);
            if (step instanceof RelayStep.Refuse refuse) {
                refused++;
                assertThat(refuse.refusal().outcome(), is(Outcome.NOT_RUN));
                assertThat(refuse.refusal().retryAfterMillis(), greaterThan(0L));
            }
        }

        assertThat(refused, is(17));
        assertThat(dispatcher.queuedCount(Calls.PLAIN_SERVICE), is(4));
    }

    @Test
    void dispatchesQueuedCallWhenServerHasCapacity() {
        register(Calls.server("one", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        List<RelayCall> calls = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            calls.add(Calls.call(i, SAFE));
            arrive(calls.get(i), 0);
        }
        steps.clear();
        dispatcher.onEnded(calls.get(0), AttemptEnd.ANSWERED, Calls.MILLI, steps);

        assertThat(steps.get(0).call(), is(calls.get(10)));
    }

    /**
     * One topic receives much of the traffic; its prompts should share one prefix cache while that server has capacity.
     */
    @Test
    void sendsCallsOfTopicToSameServer() {
        register(Calls.server("one", Calls.ENGINE_SERVICE, Calls.WEST, 0));
        register(Calls.server("two", Calls.ENGINE_SERVICE, Calls.WEST, 0));
        register(Calls.server("three", Calls.ENGINE_SERVICE, Calls.WEST, 0));
        Set<ServerId> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            RelayCall call = Calls.call(i, STREAM, new PromptPart(7, 6_000), new PromptPart(100 + i, 50));
            used.add(sentTo(arrive(call, i * 100L * Calls.MILLI)));
            dispatcher.onStarted(call, Optional.empty(), i * 100L * Calls.MILLI);
            dispatcher.onEnded(call, AttemptEnd.ANSWERED, i * 100L * Calls.MILLI, new ArrayList<>());
        }

        assertThat(used.size(), is(1));
    }

    @Test
    void limitsRateOfCallsToColdServer() {
        register(Calls.server("cold", Calls.ENGINE_SERVICE, Calls.WEST, 3_000));

        assertThat(arrive(Calls.call(1, STREAM), 0), instanceOf(RelayStep.Send.class));
        arrive(Calls.call(2, STREAM), Calls.MILLI);
        assertThat(dispatcher.queuedCount(Calls.ENGINE_SERVICE), is(1));
    }

    @Test
    void reportsAssumedServerStateWithEachAttempt() {
        dispatcher.processes().onLive(3, 0);
        register(Calls.server("cold", Calls.ENGINE_SERVICE, Calls.WEST, 3_000));
        AssumedServerState cold = ((RelayStep.Send) arrive(Calls.call(1, STREAM), 500 * Calls.MILLI)).assumedState();
        AssumedServerState warm = ((RelayStep.Send) arrive(Calls.call(2, STREAM), 3_000 * Calls.MILLI)).assumedState();

        assertThat(cold, is(new AssumedServerState(2_500, 500, 3, OptionalDouble.empty())));
        assertThat(warm, is(new AssumedServerState(0, 3_000, 3, OptionalDouble.empty())));
    }

    @Test
    void ejectsServerThatRefusesConnections() {
        register(Calls.server("gone", Calls.PLAIN_SERVICE, Calls.WEST, 0));
        RelayCall call = Calls.call(1, SAFE);
        arrive(call, 0);
        dispatcher.onEnded(call, AttemptEnd.NOT_CONNECTED, Calls.MILLI, new ArrayList<>());
        register(Calls.server("other", Calls.PLAIN_SERVICE, Calls.EAST, 0));

        assertThat(sentTo(arrive(Calls.call(2, SAFE), 2 * Calls.MILLI)), is(new ServerId("other")));
    }
}
