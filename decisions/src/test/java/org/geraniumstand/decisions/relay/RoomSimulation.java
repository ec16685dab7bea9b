package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.CallerLimits;
import org.geraniumstand.model.relay.EngineCapacity;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServiceShare;
import org.geraniumstand.model.request.AttemptEnd;

/** Simulates processes that send drafts, pages and chats to engines, half of which go from second 10 to 30. */
final class RoomSimulation {
    private static final int ENGINES = 24;
    private static final int CALLS_PER_SECOND = 360;
    private static final int REPORT_MILLIS = 400;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int LOST_MILLIS = 10_000;
    private static final int BACK_MILLIS = 30_000;

    /** Kinds of calls: large drafts, pages and small chats with long answers. */
    private static final List<Kind> KINDS = List.of(
            new Kind(0, 1, 1_000, 6_000, 3_190, 40),
            new Kind(1, 0, 700, 1_500, 700, 20),
            new Kind(2, 2, 500, 400, 200, 70));

    private record Kind(int index, int priority, int targetMillis, int sharedTokens, int ownTokens, int answerTokens) {
        RelayRoute route() {
            return new RelayRoute(
                    new RouteId("kind-" + index),
                    "host.example",
                    "/kind-" + index + "/",
                    CallKind.STREAM,
                    false,
                    DEADLINE_MILLIS,
                    targetMillis,
                    priority,
                    List.of(new ServiceShare(Calls.ENGINE_SERVICE, 1)),
                    1,
                    false,
                    true);
        }
    }

    private static final RelayTeam TEAM =
            new RelayTeam(new TeamId("t"), List.of("key"), OptionalInt.empty(), true, 200, 0, 0);
    private static final RelayService SERVICE = new RelayService(
            Calls.ENGINE_SERVICE,
            100,
            0,
            0,
            Optional.of(new EngineCapacity(PacedEngine.SLOTS, PacedEngine.MEMORY_TOKENS)),
            Optional.empty());

    private final int processCount;
    private final double demand;
    private final boolean lost;
    private final Random random;
    private final List<RelayDispatcher> dispatchers = new ArrayList<>();
    private final Map<ServerId, PacedEngine> engines = new HashMap<>();
    private final IdentityHashMap<RelayCall, RelayDispatcher> owners = new IdentityHashMap<>();
    private final Set<Long> prompt = new HashSet<>();
    private final InFlightSums sums = new InFlightSums();
    private final Set<ProcessId> live = new HashSet<>();
    private final int[][] served = new int[KINDS.size()][120];
    private final int[][] asked = new int[KINDS.size()][120];

    RoomSimulation(int processCount, double demand, long seed, boolean lost) {
        this.processCount = processCount;
        this.demand = demand;
        this.lost = lost;
        this.random = new Random(seed);
        RelayConfiguration configuration = new RelayConfiguration(
                1, List.of(), List.of(SERVICE), List.of(TEAM), new CallerLimits(16_384, 1_000_000, 3_000, 15_000));
        for (int i = 0; i < processCount; i++) {
            RelayDispatcher dispatcher =
                    new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(i), Calls.EARLIER_START);
            dispatcher.onConfiguration(configuration, 0);
            dispatcher.processes().onLive(processCount, 0);
            dispatchers.add(dispatcher);
            live.add(id(i));
        }
        IntStream.range(0, ENGINES).forEach(i -> list(i, 0));
    }

    private static ProcessId id(int index) {
        return new ProcessId("process-" + index);
    }

    private void list(int index, long now) {
        RelayServer server = new RelayServer(
                new ServerId("engine-" + index),
                1,
                Calls.ENGINE_SERVICE,
                "127.0.0.1",
                1_000 + index,
                Calls.WEST,
                new VersionId("v1"),
                PacedEngine.SLOTS,
                false,
                0,
                false);
        engines.put(server.id(), new PacedEngine());
        dispatchers.forEach(dispatcher -> dispatcher.fleet().onListed(server, now));
    }

    RoomSimulation run(int seconds) {
        long number = 0;
        for (int millis = 0; millis < seconds * 1_000; millis++) {
            long now = millis * Calls.MILLI;
            changeEngines(millis, now);
            advance(millis, now);
            for (int i = 0; i < processCount; i++) {
                report(i, millis, now);
            }
            if (random.nextInt(1_000) < CALLS_PER_SECOND * demand) {
                number++;
                arrive(number, now);
            }
        }
        return this;
    }

    private void changeEngines(int millis, long now) {
        if (lost && millis == LOST_MILLIS) {
            for (int i = 0; i < ENGINES / 2; i++) {
                ServerId id = new ServerId("engine-" + i);
                engines.remove(id);
                dispatchers.forEach(dispatcher -> dispatcher.fleet().onRemoved(id));
            }
        }
        if (lost && millis == BACK_MILLIS) {
            IntStream.range(0, ENGINES / 2).forEach(i -> list(i, now));
        }
    }

    private void report(int index, int millis, long now) {
        RelayDispatcher dispatcher = dispatchers.get(index);
        if (processCount == 1 || (millis + index * 12) % REPORT_MILLIS == 0) {
            sums.onReport(id(index), dispatcher.fleet().inFlight(now), now);
            sums.retain(live, now);
            dispatcher.fleet().onRemoteInFlight(sums.sumExcluding(id(index)), now);
        }
        if ((millis + index) % 10 == 0) {
            List<RelayStep> steps = new ArrayList<>();
            dispatcher.onTick(now, steps);
            perform(dispatcher, steps);
        }
    }

    private void arrive(long number, long now) {
        Kind kind = KINDS.get(number % 10 < 4 ? 0 : number % 10 < 7 ? 1 : 2);
        PromptPart topic = new PromptPart(1 + kind.index() * 100L + random.nextInt(60), kind.sharedTokens());
        PromptPart own = new PromptPart(10_000 + number, kind.ownTokens());
        CallerHead head = new CallerHead(
                "attempt-" + number,
                Optional.of("key"),
                OptionalLong.of(DEADLINE_MILLIS),
                Optional.empty(),
                kind.sharedTokens() + kind.ownTokens(),
                kind.answerTokens(),
                true,
                List.of(topic, own));
        RelayCall call =
                new RelayCall(number, head, kind.route(), Optional.of(TEAM), now, now + DEADLINE_MILLIS * Calls.MILLI);
        RelayDispatcher dispatcher = dispatchers.get(random.nextInt(processCount));
        owners.put(call, dispatcher);
        asked[kind.index()][second(call)]++;
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onArrival(call, now, steps);
        perform(dispatcher, steps);
    }

    private static int kindOf(RelayCall call) {
        return Integer.parseInt(call.route().id().value().substring("kind-".length()));
    }

    private static int second(RelayCall call) {
        return (int) (call.arrivedNanos() / (1_000 * Calls.MILLI));
    }

    private void perform(RelayDispatcher dispatcher, List<RelayStep> steps) {
        for (RelayStep step : steps) {
            if (step instanceof RelayStep.Send send) {
                engines.get(send.server().id()).accept(send.call());
            } else if (step instanceof RelayStep.Refuse refuse) {
                owners.remove(refuse.call(), dispatcher);
            }
        }
    }

    private void advance(int millis, long now) {
        for (PacedEngine engine : List.copyOf(engines.values())) {
            PacedEngine.Progress progress = engine.advance(millis);
            for (RelayCall call : progress.begun()) {
                owners.get(call).onStarted(call, Optional.empty(), now);
                owners.get(call).onProgress(call, now);
                if (now - call.arrivedNanos() <= call.route().targetMillis() * Calls.MILLI) {
                    prompt.add(call.number());
                }
            }
            for (RelayCall call : progress.ended()) {
                if (prompt.remove(call.number()) && now < call.deadlineNanos()) {
                    served[kindOf(call)][second(call)]++;
                }
                RelayDispatcher owner = owners.remove(call);
                List<RelayStep> steps = new ArrayList<>();
                owner.onEnded(call, AttemptEnd.ANSWERED, now, steps);
                perform(owner, steps);
            }
        }
    }

    /** Returns the prompt tokens per second of the calls that arrived between two seconds and were served in time. */
    double inTime(int from, int to) {
        return tokens(served, from, to) / (to - from);
    }

    /** Returns the part of the prompt tokens that arrived between two seconds and were served in time. */
    double share(int from, int to) {
        return tokens(served, from, to) / tokens(asked, from, to);
    }

    private static double tokens(int[][] counts, int from, int to) {
        double sum = 0;
        for (Kind kind : KINDS) {
            sum += (kind.sharedTokens() + kind.ownTokens())
                    * IntStream.range(from, to)
                            .mapToDouble(s -> counts[kind.index()][s])
                            .sum();
        }
        return sum;
    }

    /** Returns the number of kinds of which less than a fiftieth was served in time. */
    int kindsWithoutService(int from, int to) {
        int kinds = 0;
        for (Kind kind : KINDS) {
            int got =
                    IntStream.range(from, to).map(s -> served[kind.index()][s]).sum();
            int all = IntStream.range(from, to).map(s -> asked[kind.index()][s]).sum();
            kinds += got * 50 < all ? 1 : 0;
        }
        return kinds;
    }
}
