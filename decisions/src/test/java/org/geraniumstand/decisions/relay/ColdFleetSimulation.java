package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.request.AttemptEnd;

/**
 * Simulates many processes that send calls to engines which crash, restart and turn cold, in virtual time with a step
 * of one millisecond.
 *
 * <p>An engine is cold from the call of {@link #turnCold} on; processes learn of it only through {@link #listToAll} and
 * {@link #listAfterHeartbeat}.
 */
final class ColdFleetSimulation {
    static final int PROCESSES = 78;
    static final double COLD_PER_SECOND = 16;

    /** Maximum number of requests to a cold engine in any second: one and a half times its limit, plus 5. */
    static final int MAX_PER_SECOND = 29;

    private static final int ENGINES_PER_DATA_CENTRE = 10;
    private static final int SLOTS = 16;
    private static final int CALLS_PER_SECOND = 870;
    private static final int COLD_MILLIS = 3_000;
    private static final int TOPICS = 40;
    private static final int REPORT_INTERVAL_MILLIS = 200;
    private static final int STORE_UPDATE_INTERVAL_MILLIS = 300;
    private static final RelayRoute STREAM = Calls.route(CallKind.STREAM, false, 2, 0);
    private static final RelayTeam TEAM =
            new RelayTeam(new TeamId("t"), List.of("key"), OptionalInt.empty(), true, 200, 0, 0);

    private final List<RelayDispatcher> dispatchers = new ArrayList<>();
    private final List<ProcessId> processes = new ArrayList<>();
    private final InFlightSums sums = new InFlightSums();
    private final LostServers lost = new LostServers();
    private boolean storeUnreachable;
    private final Map<ServerId, Engine> engines = new HashMap<>();
    private final IdentityHashMap<RelayCall, RelayDispatcher> dispatcherByCall = new IdentityHashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Random random;
    private double callsPerMilli = CALLS_PER_SECOND / 1_000.0;
    private long number;
    private long eventCount;
    private long millis;
    private int maxColdArrivals;

    private static final class Engine {
        private final DataCentreId dataCentre;
        private final int port;
        private SimulatedEngine model = new SimulatedEngine();
        private long startMillis = 1;
        private boolean running = true;
        private long coldUntilMillis;
        private final Deque<Long> arrivals = new ArrayDeque<>();

        private Engine(DataCentreId dataCentre, int port) {
            this.dataCentre = dataCentre;
            this.port = port;
        }
    }

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime == 0 ? Long.compare(order, other.order) : byTime;
        }
    }

    ColdFleetSimulation(long seed) {
        random = new Random(seed);
        RelayConfiguration configuration = Calls.configuration(1, COLD_PER_SECOND);
        for (int i = 0; i < PROCESSES; i++) {
            RelayDispatcher dispatcher =
                    new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(random.nextLong()), Calls.EARLIER_START);
            dispatcher.onConfiguration(configuration, 0);
            dispatcher.processes().onLive(PROCESSES, 0);
            dispatchers.add(dispatcher);
            processes.add(new ProcessId("process-" + i));
        }
        int port = 1_000;
        for (DataCentreId dataCentre : List.of(Calls.WEST, Calls.EAST, new DataCentreId("south"))) {
            for (int i = 0; i < ENGINES_PER_DATA_CENTRE; i++) {
                ServerId id = new ServerId("engine-" + dataCentre.value() + "-" + i);
                engines.put(id, new Engine(dataCentre, port++));
                dispatchers.forEach(dispatcher -> list(dispatcher, id, 0));
            }
        }
    }

    List<RelayDispatcher> dispatchers() {
        return dispatchers;
    }

    List<ServerId> enginesOf(DataCentreId dataCentre) {
        return engines.entrySet().stream()
                .filter(entry -> entry.getValue().dataCentre.equals(dataCentre))
                .map(Map.Entry::getKey)
                .sorted((first, second) -> first.value().compareTo(second.value()))
                .toList();
    }

    /** Sets the rate of calls to a multiple of the usual rate. */
    void setLoadFactor(double factor) {
        callsPerMilli = factor * CALLS_PER_SECOND / 1_000.0;
    }

    /** Schedules an action at a time in milliseconds. */
    void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventCount++, action));
    }

    /** Sets whether the store is unreachable for all processes. */
    void storeUnreachable(boolean unreachable) {
        storeUnreachable = unreachable;
    }

    /** Crashes an engine: its calls break, and it refuses connections. */
    void crash(ServerId id) {
        Engine engine = engines.get(id);
        engine.running = false;
        engine.model = new SimulatedEngine();
        for (RelayCall call : List.copyOf(dispatcherByCall.keySet())) {
            if (call.server() != null && call.server().server().id().equals(id)) {
                end(call, AttemptEnd.BROKEN);
            }
        }
    }

    /** Restarts an engine cold under the same name. */
    void restart(ServerId id) {
        Engine engine = engines.get(id);
        engine.running = true;
        engine.startMillis = 1 + millis;
        turnCold(id);
    }

    /** Turns an engine cold now. */
    void turnCold(ServerId id) {
        engines.get(id).coldUntilMillis = millis + COLD_MILLIS;
    }

    /** Delivers the current entries of engines to all processes. */
    void listToAll(List<ServerId> ids) {
        dispatchers.forEach(dispatcher -> ids.forEach(id -> list(dispatcher, id)));
    }

    private void list(RelayDispatcher dispatcher, ServerId id) {
        list(dispatcher, id, Math.max(0, engines.get(id).coldUntilMillis - millis));
    }

    private void list(RelayDispatcher dispatcher, ServerId id, long coldMillis) {
        Engine engine = engines.get(id);
        dispatcher
                .fleet()
                .onListed(
                        new RelayServer(
                                id,
                                engine.startMillis,
                                Calls.ENGINE_SERVICE,
                                "127.0.0.1",
                                engine.port,
                                engine.dataCentre,
                                new VersionId("v1"),
                                SLOTS,
                                false,
                                coldMillis,
                                false),
                        now());
    }

    /**
     * Delivers the entries of engines to all processes after a heartbeat of up to 1,200 ms and a transit time of up to
     * 400 ms.
     */
    void listAfterHeartbeat(List<ServerId> ids) {
        for (ServerId id : ids) {
            long written = millis + random.nextInt(1_200);
            for (RelayDispatcher dispatcher : dispatchers) {
                at(written + random.nextInt(400), () -> list(dispatcher, id));
            }
        }
    }

    /** Runs the simulation until a time in milliseconds. */
    void runUntil(long untilMillis) {
        for (; millis < untilMillis; millis++) {
            while (!events.isEmpty() && events.peek().atMillis() <= millis) {
                events.poll().action().run();
            }
            engines.values().forEach(this::endCalls);
            double expectedCalls = callsPerMilli;
            while (random.nextDouble() < expectedCalls) {
                expectedCalls -= 1;
                arrive();
            }
            shareInFlight();
            if (!storeUnreachable && millis % STORE_UPDATE_INTERVAL_MILLIS == 0) {
                dispatchers.forEach(dispatcher -> dispatcher.fleet().onStoreUpToDate(now()));
            }
            if (millis % 10 == 0) {
                dispatchers.forEach(this::checkQueues);
            }
        }
    }

    /**
     * Exchanges the in-flight calls of all processes several times a second, so that calls are queued while servers are
     * full.
     */
    private void shareInFlight() {
        for (int i = 0; i < dispatchers.size(); i++) {
            if ((millis + 5L * i) % REPORT_INTERVAL_MILLIS == 0) {
                RelayDispatcher dispatcher = dispatchers.get(i);
                sums.onReport(processes.get(i), dispatcher.fleet().inFlight(now()), now());
                lost.onReport(processes.get(i), dispatcher.fleet().lostServers(now()), now());
                dispatcher.fleet().onRemoteLosses(lost.recentLosses(now()), now());
                sums.retain(Set.copyOf(processes), now());
                dispatcher.fleet().onRemoteInFlight(sums.sumExcluding(processes.get(i)), now());
            }
        }
    }

    /** Returns the maximum number of requests that any cold engine received in any second. */
    int maxColdArrivals() {
        return maxColdArrivals;
    }

    /** Returns the virtual time in nanoseconds. */
    long now() {
        return millis * Calls.MILLI;
    }

    private void endCalls(Engine engine) {
        for (RelayCall call : engine.model.end(now())) {
            if (dispatcherByCall.containsKey(call)) {
                dispatcherByCall.get(call).onStarted(call, Optional.of(engine.model.load()), now());
                end(call, AttemptEnd.ANSWERED);
            }
        }
    }

    private void end(RelayCall call, AttemptEnd end) {
        RelayDispatcher dispatcher = dispatcherByCall.get(call);
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onEnded(call, end, now(), steps);
        if (end == AttemptEnd.ANSWERED) {
            dispatcherByCall.remove(call);
        }
        perform(dispatcher, steps);
    }

    private void checkQueues(RelayDispatcher dispatcher) {
        if (dispatcher.hasQueuedCalls()) {
            List<RelayStep> steps = new ArrayList<>();
            dispatcher.onTick(now(), steps);
            perform(dispatcher, steps);
        }
    }

    private void arrive() {
        number++;
        RelayCall call = new RelayCall(
                number,
                Calls.head(
                        "attempt-" + number,
                        new PromptPart(1 + random.nextInt(TOPICS), 2_520),
                        new PromptPart(1_000 + random.nextInt(1_174), 3_780),
                        new PromptPart(10_000 + number, 2_890)),
                STREAM,
                Optional.of(TEAM),
                now(),
                now() + 5_000 * Calls.MILLI);
        RelayDispatcher dispatcher = dispatchers.get(random.nextInt(dispatchers.size()));
        dispatcherByCall.put(call, dispatcher);
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onArrival(call, now(), steps);
        perform(dispatcher, steps);
    }

    private void perform(RelayDispatcher dispatcher, List<RelayStep> steps) {
        for (RelayStep step : steps) {
            if (step instanceof RelayStep.Send send) {
                send(dispatcher, send);
            } else {
                dispatcherByCall.remove(step.call());
            }
        }
    }

    private void send(RelayDispatcher dispatcher, RelayStep.Send send) {
        Engine engine = engines.get(send.server().id());
        if (!engine.running) {
            end(send.call(), AttemptEnd.NOT_CONNECTED);
            return;
        }
        if (millis < engine.coldUntilMillis) {
            count(engine);
        }
        if (!engine.model.accept(send.call(), now())) {
            dispatcher.onStarted(send.call(), Optional.of(engine.model.load()), now());
            end(send.call(), AttemptEnd.DECLINED);
        }
    }

    private void count(Engine engine) {
        engine.arrivals.add(millis);
        while (engine.arrivals.peek() <= millis - 1_000) {
            engine.arrivals.poll();
        }
        maxColdArrivals = Math.max(maxColdArrivals, engine.arrivals.size());
    }
}
