package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.ToLongFunction;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.request.AttemptEnd;

/**
 * Simulates, in virtual time, 70 processes whose callers want more than the engines of a service can serve. An engine
 * serves about 32 calls a second.
 */
final class CrowdedServers {
    static final int PROCESSES = 70;
    static final int SECONDS = 12;
    static final long PATIENCE_MILLIS = 3_000;

    private static final int SLOTS = 16;
    private static final int REPORT_INTERVAL_MILLIS = 200;
    private static final int TICK_MILLIS = 20;

    /** Seconds at the beginning that are not counted, in which the servers fill. */
    private static final int WARM_UP_SECONDS = 3;

    private final Map<ServerId, SimulatedEngine> engines = new HashMap<>();
    private final List<RelayDispatcher> dispatchers = new ArrayList<>();
    private final IdentityHashMap<RelayCall, RelayDispatcher> dispatcherByCall = new IdentityHashMap<>();
    private final IdentityHashMap<RelayCall, Kind> kinds = new IdentityHashMap<>();
    private final Map<Kind, Result> results = new HashMap<>();
    private final Random random;
    private long number;

    /**
     * Describes calls that arrive evenly.
     *
     * @param team their team
     * @param rank their priority
     * @param tokens prompt tokens of each
     * @param perSecond arrivals per second
     * @param atOnce whether the callers come back at once when refused
     */
    record Kind(String team, int rank, int tokens, int perSecond, boolean atOnce) {}

    /** Counts the calls of a kind. */
    static final class Result {
        int arrived;
        int served;
        int refusedAtDeadline;
        final List<Long> waitedBeforeRefusal = new ArrayList<>();
        final List<Long> returns = new ArrayList<>();

        double share() {
            return served / (double) arrived;
        }
    }

    CrowdedServers(int engineCount, long seed) {
        this.random = new Random(seed);
        for (int i = 0; i < PROCESSES; i++) {
            RelayDispatcher dispatcher =
                    new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(seed + i), Calls.EARLIER_START);
            dispatcher.onConfiguration(Calls.configuration(1), 0);
            dispatcher.processes().onLive(PROCESSES, 0);
            dispatchers.add(dispatcher);
        }
        for (int i = 0; i < engineCount; i++) {
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

    /** Runs the load and returns what became of each kind. */
    Map<Kind, Result> run(List<Kind> load) {
        return run(load, Integer.MAX_VALUE, 0);
    }

    /** Runs the load and removes a number of engines at a time; their calls are lost. */
    Map<Kind, Result> run(List<Kind> load, int lossMillis, int lost) {
        load.forEach(kind -> results.put(kind, new Result()));
        InFlightSums sums = new InFlightSums();
        for (int millis = 0; millis < SECONDS * 1_000; millis++) {
            long now = millis * Calls.MILLI;
            if (millis == lossMillis) {
                lose(lost);
            }
            end(now);
            for (int i = 0; i < PROCESSES; i++) {
                RelayDispatcher dispatcher = dispatchers.get(i);
                if ((millis + 3 * i) % REPORT_INTERVAL_MILLIS == 0) {
                    sums.onReport(Exchange.id(i), dispatcher.fleet().inFlight(now), now);
                    dispatcher.fleet().onRemoteInFlight(sums.sumExcluding(Exchange.id(i)), now);
                    exchange.report(i, dispatcher, now);
                }
                if ((millis + i) % TICK_MILLIS == 0 && dispatcher.hasQueuedCalls()) {
                    List<RelayStep> steps = new ArrayList<>();
                    dispatcher.onTick(now, steps);
                    perform(dispatcher, steps, now);
                }
            }
            for (Kind kind : load) {
                if (random.nextInt(1_000) < kind.perSecond()) {
                    arrive(kind, now, now + PATIENCE_MILLIS * Calls.MILLI);
                }
            }
        }
        return results;
    }

    private final Exchange exchange = new Exchange();

    private void lose(int count) {
        for (int i = 0; i < count; i++) {
            ServerId id = new ServerId("engine-" + i);
            engines.remove(id);
            dispatchers.forEach(dispatcher -> dispatcher.fleet().onRemoved(id));
        }
    }

    private static RelayRoute route(int rank) {
        return Calls.route(CallKind.STREAM, true, 3, rank);
    }

    private void arrive(Kind kind, long now, long deadline) {
        number++;
        CallerHead head = new CallerHead(
                "attempt-" + number,
                Optional.of("key"),
                OptionalLong.of(PATIENCE_MILLIS),
                Optional.empty(),
                kind.tokens(),
                kind.tokens() / 10,
                true,
                List.of());
        RelayTeam team = new RelayTeam(new TeamId(kind.team()), List.of("key"), OptionalInt.empty(), true, 200, 0, 0);
        RelayCall call = new RelayCall(number, head, route(kind.rank()), Optional.of(team), now, deadline);
        RelayDispatcher dispatcher = dispatchers.get(random.nextInt(PROCESSES));
        dispatcherByCall.put(call, dispatcher);
        kinds.put(call, kind);
        if (counts(call)) {
            results.get(kind).arrived++;
        }
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onArrival(call, now, steps);
        perform(dispatcher, steps, now);
    }

    private static boolean counts(RelayCall call) {
        return call.arrivedNanos() >= WARM_UP_SECONDS * 1_000 * Calls.MILLI
                && call.arrivedNanos() < (SECONDS * 1_000 - PATIENCE_MILLIS) * Calls.MILLI;
    }

    private void perform(RelayDispatcher dispatcher, List<RelayStep> steps, long now) {
        for (RelayStep step : steps) {
            Kind kind = kinds.get(step.call());
            if (step instanceof RelayStep.Send send) {
                SimulatedEngine engine = engines.get(send.server().id());
                if (engine.accept(send.call(), now)) {
                    if (counts(send.call())) {
                        results.get(kind).served++;
                    }
                } else {
                    List<RelayStep> declined = new ArrayList<>();
                    dispatcher.onStarted(send.call(), Optional.of(engine.load()), now);
                    dispatcher.onEnded(send.call(), AttemptEnd.DECLINED, now, declined);
                    perform(dispatcher, declined, now);
                }
            } else if (step instanceof RelayStep.Refuse refuse) {
                onRefused(refuse, kind, now);
            }
        }
    }

    private void onRefused(RelayStep.Refuse refuse, Kind kind, long now) {
        RelayCall call = refuse.call();
        if (counts(call)) {
            Result result = results.get(kind);
            result.refusedAtDeadline += now >= call.deadlineNanos() ? 1 : 0;
            result.waitedBeforeRefusal.add((now - call.arrivedNanos()) / Calls.MILLI);
            result.returns.add(now / Calls.MILLI + refuse.refusal().retryAfterMillis());
        }
        if (kind.atOnce() && call.deadlineNanos() - now > PATIENCE_MILLIS / 2 * Calls.MILLI) {
            arrive(kind, now, call.deadlineNanos() - 500 * Calls.MILLI);
        }
    }

    private void end(long now) {
        for (SimulatedEngine engine : List.copyOf(engines.values())) {
            for (RelayCall call : engine.end(now)) {
                RelayDispatcher dispatcher = dispatcherByCall.remove(call);
                List<RelayStep> steps = new ArrayList<>();
                dispatcher.onStarted(call, Optional.of(engine.load()), now);
                dispatcher.onEnded(call, AttemptEnd.ANSWERED, now, steps);
                perform(dispatcher, steps, now);
            }
        }
    }

    static long sum(Map<Kind, Result> results, ToLongFunction<Result> figure) {
        return results.values().stream().mapToLong(figure).sum();
    }
}
