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
import org.geraniumstand.model.relay.RelayPlan;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.request.AttemptEnd;

/**
 * Many processes before engines that crash, start again and turn cold, in virtual time by milliseconds.
 *
 * <p>An engine is cold from the moment that {@link #turnCold} is called; processes hear of it only from {@link #listToAll} and {@link #listAfterHeartbeat}.
 */
final class ColdFleetSimulation {
    static final int PROCESSES = 78;
    static final double COLD_PER_SECOND = 16;

    /** Requests that a cold engine may get in any second: what it bears, half more, and 5. */
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

    private final List<RelayDesk> dispatchers = new ArrayList<>();
    private final List<ProcessId> processes = new ArrayList<>();
    private final InFlightSums sums = new InFlightSums();
    private final LostServers lost = new LostServers();
    private boolean storeUnreachable;
    private final Map<ServerId, Engine> engines = new HashMap<>();
    private final IdentityHashMap<RelayCall, RelayDesk> owner = new IdentityHashMap<>();
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
        RelayPlan plan = Calls.plan(1, COLD_PER_SECOND);
        for (int i = 0; i < PROCESSES; i++) {
            RelayDesk dispatcher = new RelayDesk(Calls.WEST, Calls.bounds(), new Random(random.nextLong()), 0);
            dispatcher.onPlan(plan, 0);
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

    List<RelayDesk> dispatchers() {
        return dispatchers;
    }

    List<ServerId> enginesOf(DataCentreId dataCentre) {
        return engines.entrySet().stream()
                .filter(entry -> entry.getValue().dataCentre.equals(dataCentre))
                .map(Map.Entry::getKey)
                .sorted((first, second) -> first.value().compareTo(second.value()))
                .toList();
    }

    /** Sets by how much callers exceed their usual rate. */
    void burst(double factor) {
        callsPerMilli = factor * CALLS_PER_SECOND / 1_000.0;
    }

    /** Does something at a time, in milliseconds. */
    void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventCount++, action));
    }

    /** Sets whether nobody hears of the store. */
    void storeUnreachable(boolean unreachable) {
        storeUnreachable = unreachable;
    }

    /** The engine crashes: its calls break, and it takes no connections. */
    void crash(ServerId id) {
        Engine engine = engines.get(id);
        engine.running = false;
        engine.model = new SimulatedEngine();
        for (RelayCall call : List.copyOf(owner.keySet())) {
            if (call.server() != null && call.server().server().id().equals(id)) {
                end(call, AttemptEnd.BROKEN);
            }
        }
    }

    /** The engine starts again under its name, cold. */
    void restart(ServerId id) {
        Engine engine = engines.get(id);
        engine.running = true;
        engine.startMillis = 1 + millis;
        turnCold(id);
    }

    /** The engine turns cold from now on. */
    void turnCold(ServerId id) {
        engines.get(id).coldUntilMillis = millis + COLD_MILLIS;
    }

    /** All processes read what engines say of themselves now. */
    void listToAll(List<ServerId> ids) {
        dispatchers.forEach(dispatcher -> ids.forEach(id -> list(dispatcher, id)));
    }

    private void list(RelayDesk dispatcher, ServerId id) {
        list(dispatcher, id, Math.max(0, engines.get(id).coldUntilMillis - millis));
    }

    private void list(RelayDesk dispatcher, ServerId id, long coldMillis) {
        Engine engine = engines.get(id);
        dispatcher.fleet()
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

    /** All processes read the entries of engines after a heartbeat of running to 1,200 ms and running to 400 ms on the way. */
    void listAfterHeartbeat(List<ServerId> ids) {
        for (ServerId id : ids) {
            long written = millis + random.nextInt(1_200);
            for (RelayDesk dispatcher : dispatchers) {
                at(written + random.nextInt(400), () -> list(dispatcher, id));
            }
        }
    }

    /** Lets time pass until a time, in milliseconds. */
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
                dispatchers.forEach(dispatcher -> dispatcher.fleet().onStoreInformed(now()));
            }
            if (millis % 10 == 0) {
                dispatchers.forEach(this::look);
            }
        }
    }

    /** Each process hears a few factor a second what the others have in flight, so that it waits where servers are full. */
    private void shareInFlight() {
        for (int i = 0; i < dispatchers.size(); i++) {
            if ((millis + 5L * i) % REPORT_INTERVAL_MILLIS == 0) {
                RelayDesk dispatcher = dispatchers.get(i);
                sums.onTold(processes.get(i), dispatcher.fleet().inFlight(), now());
                lost.onTold(dispatcher.fleet().lost(now()), now());
                dispatcher.fleet().onLostByOthers(lost.lately(now()), now());
                sums.retain(Set.copyOf(processes), now());
                dispatcher.fleet().onOthersInFlight(sums.without(processes.get(i)), now());
            }
        }
    }

    /** Returns the most requests that a cold engine got in any second. */
    int maxColdArrivals() {
        return maxColdArrivals;
    }

    /** Returns the time in nanoseconds. */
    long now() {
        return millis * Calls.MILLI;
    }

    private void endCalls(Engine engine) {
        for (RelayCall call : engine.model.end(now())) {
            if (owner.containsKey(call)) {
                owner.get(call).onStarted(call, Optional.of(engine.model.load()), now());
                end(call, AttemptEnd.ANSWERED);
            }
        }
    }

    private void end(RelayCall call, AttemptEnd end) {
        RelayDesk dispatcher = owner.get(call);
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onEnded(call, end, now(), steps);
        if (end == AttemptEnd.ANSWERED) {
            owner.remove(call);
        }
        act(dispatcher, steps);
    }

    private void checkWaiting(RelayDesk dispatcher) {
        if (dispatcher.anyWaiting()) {
            List<RelayStep> steps = new ArrayList<>();
            dispatcher.onTick(now(), steps);
            act(dispatcher, steps);
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
        RelayDesk dispatcher = dispatchers.get(random.nextInt(dispatchers.size()));
        owner.put(call, dispatcher);
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.arrive(call, now(), steps);
        act(dispatcher, steps);
    }

    private void act(RelayDesk dispatcher, List<RelayStep> steps) {
        for (RelayStep step : steps) {
            if (step instanceof RelayStep.Send send) {
                send(dispatcher, send);
            } else {
                owner.remove(step.call());
            }
        }
    }

    private void send(RelayDesk dispatcher, RelayStep.Send send) {
        Engine engine = engines.get(send.server().id());
        if (!engine.running) {
            end(send.call(), AttemptEnd.NOT_CONNECTED);
            return;
        }
        if (millis < engine.coldUntilMillis) {
            count(engine);
        }
        if (!engine.model.take(send.call(), now())) {
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
