package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;

/**
 * Replays the load after a loss of servers: 95 processes send 300 calls a second to the remaining engines, with prompts
 * of four topics only. With shared sums, each process receives the in-flight calls of the others every 400 ms.
 */
final class InFlightSharingReplayTest {
    private static final int PROCESSES = 95;
    /**
     * Numbers of engines at which the calls take 78% and 104% of the batches, and at which three quarters and half of
     * the calls fit.
     */
    private static final int ENGINES_AT_78_PERCENT = 12;

    private static final int ENGINES_AT_104_PERCENT = 9;
    private static final int ENGINES_FOR_THREE_QUARTERS = 7;
    private static final int ENGINES_FOR_HALF = 5;
    private static final int SLOTS = 16;
    private static final int CALLS_PER_SECOND = 300;
    private static final int SECONDS = 10;
    private static final int TOPICS = 4;
    private static final int REPORT_INTERVAL_MILLIS = 400;
    private static final int SEEDS = 5;
    private static final RelayRoute STREAM = Calls.route(CallKind.STREAM, false, 1, 0);
    private static final RelayTeam TEAM =
            new RelayTeam(new TeamId("t"), List.of("key"), OptionalInt.empty(), true, 200, 0, 0);

    private final Map<ServerId, SimulatedEngine> engines = new HashMap<>();
    private final List<RelayDispatcher> dispatchers = new ArrayList<>();
    private final IdentityHashMap<RelayCall, RelayDispatcher> dispatcherByCall = new IdentityHashMap<>();

    private void start(int count) {
        engines.clear();
        dispatchers.clear();
        dispatcherByCall.clear();
        for (int i = 0; i < PROCESSES; i++) {
            RelayDispatcher dispatcher =
                    new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(i), Calls.EARLIER_START);
            dispatcher.onConfiguration(Calls.configuration(1), 0);
            dispatcher.processes().onLive(PROCESSES, 0);
            dispatchers.add(dispatcher);
        }
        for (int i = 0; i < count; i++) {
            RelayServer server = new RelayServer(
                    new ServerId("engine-" + i),
                    1,
                    Calls.ENGINE_SERVICE,
                    "127.0.0.1",
                    1_000 + i,
                    Calls.WEST,
                    new VersionId("v1"),
                    SLOTS,
                    false,
                    0,
                    false);
            engines.put(server.id(), new SimulatedEngine());
            dispatchers.forEach(dispatcher -> dispatcher.fleet().onListed(server, 0));
        }
    }

    private void run(int count, long seed, boolean shared) {
        start(count);
        Random random = new Random(seed);
        InFlightSums sums = new InFlightSums();
        Set<ProcessId> live = new HashSet<>();
        for (int i = 0; i < PROCESSES; i++) {
            live.add(id(i));
        }
        long number = 0;
        for (int millis = 0; millis < SECONDS * 1_000; millis++) {
            long now = millis * Calls.MILLI;
            end(now);
            for (int i = 0; shared && i < PROCESSES; i++) {
                if ((millis + i * 4) % REPORT_INTERVAL_MILLIS == 0) {
                    sums.onReport(id(i), dispatchers.get(i).fleet().inFlight(now), now);
                    sums.retain(live, now);
                    dispatchers.get(i).fleet().onRemoteInFlight(sums.sumExcluding(id(i)), now);
                }
            }
            if (random.nextInt(1_000) < CALLS_PER_SECOND) {
                number++;
                arrive(dispatchers.get(random.nextInt(PROCESSES)), number, random, now);
            }
        }
    }

    private static ProcessId id(int index) {
        return new ProcessId("process-" + index);
    }

    private void arrive(RelayDispatcher dispatcher, long number, Random random, long now) {
        PromptPart topic = new PromptPart(1 + random.nextInt(TOPICS), 2_520);
        PromptPart session = new PromptPart(1_000 + random.nextInt(700), 3_780);
        RelayCall call = new RelayCall(
                number,
                Calls.head("attempt-" + number, topic, session, new PromptPart(10_000 + number, 2_890)),
                STREAM,
                Optional.of(TEAM),
                now,
                now + 5_000 * Calls.MILLI);
        dispatcherByCall.put(call, dispatcher);
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onArrival(call, now, steps);
        perform(dispatcher, steps, now);
    }

    private void perform(RelayDispatcher dispatcher, List<RelayStep> steps, long now) {
        for (RelayStep step : steps) {
            if (step instanceof RelayStep.Send send) {
                SimulatedEngine engine = engines.get(send.server().id());
                if (!engine.accept(send.call(), now)) {
                    dispatcher.onStarted(send.call(), Optional.of(engine.load()), now);
                    dispatcher.onEnded(send.call(), AttemptEnd.DECLINED, now, new ArrayList<>());
                }
            }
        }
    }

    private void end(long now) {
        for (SimulatedEngine engine : engines.values()) {
            for (RelayCall call : engine.end(now)) {
                RelayDispatcher dispatcher = dispatcherByCall.remove(call);
                List<RelayStep> steps = new ArrayList<>();
                dispatcher.onStarted(call, Optional.of(engine.load()), now);
                dispatcher.onEnded(call, AttemptEnd.ANSWERED, now, steps);
                perform(dispatcher, steps, now);
            }
        }
    }

    private int total(ToIntFunction<SimulatedEngine> count) {
        return engines.values().stream().mapToInt(count).sum();
    }

    private int onTime(int count, boolean shared) {
        int sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            run(count, seed, shared);
            sum += total(SimulatedEngine::onTime);
        }
        return sum;
    }

    @Test
    void allCallsAreOnTimeWhileThereIsCapacity() {
        run(ENGINES_AT_78_PERCENT, 1, true);

        assertThat(total(SimulatedEngine::rejected), is(0));
        assertThat(total(SimulatedEngine::onTime) * 100, greaterThan(total(SimulatedEngine::received) * 99));
    }

    /**
     * Sharing the sums doubles the calls served in time when the remaining engines can take three quarters of the
     * calls.
     */
    @Test
    void sharingDoublesCallsOnTimeAfterLossOfServers() {
        int unshared = onTime(ENGINES_FOR_THREE_QUARTERS, false);

        assertThat(onTime(ENGINES_FOR_THREE_QUARTERS, true), greaterThan(2 * unshared));
    }

    @Test
    void sharingDoublesCallsOnTimeAfterLossOfMostServers() {
        int unshared = onTime(ENGINES_FOR_HALF, false);

        assertThat(onTime(ENGINES_FOR_HALF, true), greaterThan(2 * unshared));
    }

    /**
     * All processes receive the same figures at the same time; they must not all select the same server because of
     * that.
     */
    @Test
    void sharingCostsLittleAtFullCapacity() {
        int unshared = onTime(ENGINES_AT_104_PERCENT, false);

        assertThat(onTime(ENGINES_AT_104_PERCENT, true) * 100, greaterThan(unshared * 98));
    }
}
