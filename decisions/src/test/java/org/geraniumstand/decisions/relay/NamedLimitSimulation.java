package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.LimitShare;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Outcome;

/**
 * Simulates processes that share a server which names a limit, in steps of a millisecond. The first two processes that
 * live and are not cut off are the aggregators, as are the first two of those that are cut off.
 */
final class NamedLimitSimulation {
    private static final RelayRoute SAFE = Calls.route(CallKind.SAFE, false, 2, 0);
    private static final ServerId LIMITED = new ServerId("limited");
    private static final int ASSUMED_PROCESSES = 330;
    private static final int TICK_MILLIS = 10;
    private static final int MAX_ANSWER_MILLIS = 40;
    private static final int MAX_CONNECT_MILLIS = 30;
    private static final int MAX_TRANSIT_MILLIS = 20;
    private static final int MIN_REPORT_MILLIS = 200;
    private static final int MAX_REPORT_MILLIS = 400;
    private static final int DETECTION_MILLIS = 4_000;

    /** Bounds of the platform's rule. */
    private static final int WINDOW_MILLIS = 4_000;

    private static final int CONTACT_MILLIS = 3_000;
    private static final int TOLD_MILLIS = 500;
    private static final double OVERRUN = 1.5;
    private static final int TOLERANCE = 5;

    private final Random random;
    private final List<Participant> processes = new ArrayList<>();
    private final IntToDoubleFunction limitAt;
    private final int otherServers;
    private final int durationMillis;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingInt(Event::millis).thenComparingLong(Event::sequence));
    private final int[] received;
    private final int[] counted;
    private final List<Integer> refusedAfterMillis = new ArrayList<>();
    private int[] demandWeights;
    private double callsPerSecond;
    private int deadlineMillis = 5_000;
    private int refused;
    private final Map<Boolean, Set<ProcessId>> liveBySide = new HashMap<>();
    private final Map<Boolean, List<Participant>> aggregatorsBySide = new HashMap<>();
    private boolean shares = true;
    private long number;
    private long sequence;
    private int millis;

    private record Event(int millis, long sequence, Runnable action) {}

    /** A process; a restart replaces its dispatcher. */
    private final class Participant {
        private final ProcessId id;
        private RelayDispatcher dispatcher;
        private ServerLimitExchange exchange;
        private int toldMillis = Integer.MAX_VALUE;
        private int startedMillis;
        private boolean down;
        private boolean cut;
        private int disturbedMillis = -CONTACT_MILLIS;

        Participant(int index) {
            id = new ProcessId("process-" + index);
            start();
        }

        void start() {
            startedMillis = millis;
            toldMillis = Integer.MAX_VALUE;
            dispatcher = new RelayDispatcher(
                    Calls.WEST,
                    new RelayBounds(0.2, 50, 10_000, 0, 0, ASSUMED_PROCESSES),
                    new Random(random.nextLong()),
                    now());
            exchange = new ServerLimitExchange(dispatcher);
            dispatcher.onConfiguration(Calls.configuration(1), now());
            dispatcher.fleet().onListed(server(LIMITED, 1), now());
            for (int i = 0; i < otherServers; i++) {
                dispatcher.fleet().onListed(server(new ServerId("other-" + i), 100 + i), now());
            }
        }

        boolean reaches(Participant other) {
            return !down && !other.down && cut == other.cut;
        }

        /** Returns whether the rule counts the requests that the process sends now. */
        boolean isCounted() {
            return !cut
                    && millis - disturbedMillis >= CONTACT_MILLIS
                    && toldMillis != Integer.MAX_VALUE
                    && millis - toldMillis >= TOLD_MILLIS;
        }
    }

    /**
     * Creates a simulation.
     *
     * @param count number of processes
     * @param otherServers number of servers without a limit
     * @param durationMillis simulated time
     * @param limitAt requests per second that the server names at a millisecond, infinite for none
     * @param seed seed of all random choices
     */
    NamedLimitSimulation(int count, int otherServers, int durationMillis, IntToDoubleFunction limitAt, long seed) {
        this.otherServers = otherServers;
        this.durationMillis = durationMillis;
        this.limitAt = limitAt;
        this.random = new Random(seed);
        this.received = new int[durationMillis];
        this.counted = new int[durationMillis];
        for (int i = 0; i < count; i++) {
            processes.add(new Participant(i));
        }
        divide();
        demandWeights = IntStream.range(0, count).map(_i -> 1).toArray();
        members();
    }

    NamedLimitSimulation demand(double perSecond) {
        callsPerSecond = perSecond;
        return this;
    }

    /** Lets one process receive most of the calls. */
    NamedLimitSimulation skewed() {
        demandWeights[0] = 9 * demandWeights.length;
        return this;
    }

    NamedLimitSimulation deadline(int afterMillis) {
        deadlineMillis = afterMillis;
        return this;
    }

    /** Loses all messages between processes. */
    NamedLimitSimulation withoutAggregators() {
        shares = false;
        return this;
    }

    /** Cuts a part of the processes off from the others between two times. */
    NamedLimitSimulation cut(double part, int from, int until) {
        List<Participant> affected = processes.subList(0, (int) (processes.size() * part));
        at(from, () -> disturb(affected, process -> process.cut = true));
        at(until, () -> disturb(affected, process -> process.cut = false));
        return this;
    }

    /** Kills a part of the processes and starts them again. */
    NamedLimitSimulation restart(double part, int from, int until) {
        List<Participant> affected = processes.subList(0, (int) Math.ceil(processes.size() * part));
        at(from, () -> disturb(affected, process -> process.down = true));
        at(
                until,
                () -> disturb(affected, process -> {
                    process.down = false;
                    process.start();
                }));
        return this;
    }

    private void disturb(List<Participant> affected, Consumer<Participant> change) {
        affected.forEach(change);
        divide();
        affected.forEach(process -> process.disturbedMillis = millis);
        at(millis + DETECTION_MILLIS, this::members);
    }

    /** Determines the live processes on either side of a cut and their aggregators. */
    private void divide() {
        for (boolean side : List.of(true, false)) {
            List<Participant> live = processes.stream()
                    .filter(process -> !process.down && process.cut == side)
                    .toList();
            liveBySide.put(side, live.stream().map(process -> process.id).collect(Collectors.toSet()));
            aggregatorsBySide.put(side, live.subList(0, Math.min(2, live.size())));
        }
    }

    private void members() {
        for (Participant process : processes) {
            if (!process.down) {
                process.dispatcher
                        .processes()
                        .onLive(
                                (int) processes.stream()
                                        .filter(process::reaches)
                                        .count(),
                                now());
            }
        }
    }

    private void at(int when, Runnable action) {
        events.add(new Event(when, sequence++, action));
    }

    private long now() {
        return millis * Calls.MILLI;
    }

    private static RelayServer server(ServerId id, int slots) {
        return new RelayServer(
                id,
                100,
                Calls.PLAIN_SERVICE,
                "127.0.0.1",
                1_000 + slots,
                Calls.WEST,
                new VersionId("v1"),
                1_000,
                false,
                0,
                false);
    }

    NamedLimitSimulation run() {
        int reportMillis = Math.min(MAX_REPORT_MILLIS, Math.max(MIN_REPORT_MILLIS, 2 * processes.size()));
        processes.forEach(process -> at(random.nextInt(reportMillis), () -> report(process, reportMillis)));
        double due = 0;
        for (millis = 0; millis < durationMillis; millis++) {
            while (!events.isEmpty() && events.peek().millis() <= millis) {
                events.remove().action().run();
            }
            due += -Math.log(1 - random.nextDouble()) * callsPerSecond / 1_000;
            for (; due >= 1; due--) {
                arrive();
            }
            if (millis % TICK_MILLIS == 0) {
                for (Participant process : processes) {
                    if (!process.down && process.dispatcher.hasQueuedCalls()) {
                        perform(process, steps -> process.dispatcher.onTick(now(), steps));
                    }
                }
            }
        }
        return this;
    }

    private void arrive() {
        int total = IntStream.of(demandWeights).sum();
        int position = random.nextInt(total);
        int index = 0;
        while (position >= demandWeights[index]) {
            position -= demandWeights[index];
            index++;
        }
        Participant process = processes.get(index);
        if (process.down) {
            return;
        }
        number++;
        RelayCall call = new RelayCall(
                number,
                Calls.head("attempt-" + number),
                SAFE,
                Optional.empty(),
                now(),
                now() + deadlineMillis * Calls.MILLI);
        perform(process, steps -> process.dispatcher.onArrival(call, now(), steps));
    }

    private void perform(Participant process, Consumer<List<RelayStep>> action) {
        List<RelayStep> steps = new ArrayList<>();
        action.accept(steps);
        for (RelayStep step : steps) {
            if (step instanceof RelayStep.Send send) {
                int delay = random.nextInt(5) == 0 ? random.nextInt(MAX_CONNECT_MILLIS) : 0;
                int startedMillis = process.startedMillis;
                at(millis + delay, () -> {
                    if (!process.down && process.startedMillis == startedMillis) {
                        perform(process, next -> connect(process, send, next));
                    }
                });
            } else if (step instanceof RelayStep.Refuse refuse) {
                refuse(refuse);
            }
        }
    }

    private void refuse(RelayStep.Refuse refuse) {
        refused++;
        if (refuse.refusal().outcome() != Outcome.NOT_RUN || refuse.refusal().retryAfterMillis() <= 0) {
            throw new IllegalStateException("refused without a promise or a time to retry: " + refuse.refusal());
        }
        refusedAfterMillis.add((int) ((now() - refuse.call().arrivedNanos()) / Calls.MILLI));
    }

    private void connect(Participant process, RelayStep.Send send, List<RelayStep> next) {
        RelayCall call = send.call();
        if (process.dispatcher.withdraw(call, now(), next)) {
            return;
        }
        boolean limited = send.server().id().equals(LIMITED);
        if (limited) {
            received[millis]++;
            counted[millis] += process.isCounted() ? 1 : 0;
        }
        int startedMillis = process.startedMillis;
        at(millis + 1 + random.nextInt(MAX_ANSWER_MILLIS), () -> {
            if (!process.down && process.startedMillis == startedMillis) {
                answer(process, call, limited);
            }
        });
    }

    private void answer(Participant process, RelayCall call, boolean limited) {
        double perSecond = limited ? limitAt.applyAsDouble(millis) : Double.POSITIVE_INFINITY;
        process.dispatcher.onStarted(call, Optional.empty(), now());
        process.dispatcher.fleet().limits().onAnswer(call.server().server(), perSecond, call.sentNanos(), now());
        if (limited && Double.isFinite(perSecond)) {
            process.toldMillis = Math.min(process.toldMillis, millis);
        }
        perform(process, steps -> process.dispatcher.onEnded(call, AttemptEnd.ANSWERED, now(), steps));
    }

    private void report(Participant process, int reportMillis) {
        at(millis + reportMillis, () -> report(process, reportMillis));
        if (!shares || process.down) {
            return;
        }
        process.exchange.retain(liveBySide.get(process.cut), now());
        List<Participant> aggregators = aggregatorsBySide.get(process.cut);
        List<LimitDemand> demands = process.exchange.report(now());
        for (int i = 0; i < aggregators.size(); i++) {
            int rank = i;
            Participant aggregator = aggregators.get(i);
            transfer(process, aggregator, () -> {
                aggregator.exchange.onReport(process.id, demands, now());
                List<LimitShare> granted = aggregator.exchange.shares(process.id, now());
                transfer(aggregator, process, () -> process.exchange.onShares(rank, granted, now()));
            });
        }
    }

    private void transfer(Participant from, Participant to, Runnable delivery) {
        at(millis + 1 + random.nextInt(MAX_TRANSIT_MILLIS), () -> {
            if (from.reaches(to)) {
                delivery.run();
            }
        });
    }

    /** Returns the largest fraction of the allowed requests that the server got in some 4 s. */
    double worstWindow() {
        int firstNamed = IntStream.range(0, durationMillis)
                .filter(at -> Double.isFinite(limitAt.applyAsDouble(at)))
                .findFirst()
                .orElseThrow();
        double worst = 0;
        for (int from = firstNamed + CONTACT_MILLIS; from + WINDOW_MILLIS <= durationMillis; from += TICK_MILLIS) {
            int sum = 0;
            double limit = 0;
            for (int at = from; at < from + WINDOW_MILLIS; at++) {
                sum += counted[at];
                limit += limitAt.applyAsDouble(at) / 1_000;
            }
            worst = Math.max(worst, sum / (OVERRUN * limit + TOLERANCE));
        }
        return worst;
    }

    /** Returns the requests that the server got between two times as a fraction of those that it accepts. */
    double usedShare(int from, int until) {
        double limit = 0;
        int sum = 0;
        for (int at = from; at < until; at++) {
            limit += limitAt.applyAsDouble(at) / 1_000;
            sum += received[at];
        }
        return sum / limit;
    }

    /** Returns the requests per second that the server got between two times. */
    double receivedPerSecond(int from, int until) {
        return IntStream.range(from, until).map(at -> received[at]).sum() * 1_000.0 / (until - from);
    }

    int refused() {
        return refused;
    }

    /** Returns the share of the refusals that came within some milliseconds of the arrival. */
    double refusedWithin(int withinMillis) {
        return refusedAfterMillis.stream()
                        .filter(after -> after <= withinMillis)
                        .count()
                / (double) Math.max(1, refused);
    }
}
