package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.TeamUsage;

/**
 * Simulates processes that keep the quota of one team and are all killed and started at once, in virtual time. The entries of
 * killed processes stay in the store. An aggregator adds up the use once the processes know each other.
 */
final class QuotaStartSimulation {
    private static final double SLACK = 110_000;
    private static final double OVERRUN = 0.1;
    private static final int WINDOW_MILLIS = 8_000;

    /** Milliseconds from a start until the process knows the aggregator, at least and at most. */
    private static final int MIN_DISCOVERY_MILLIS = 300;

    private static final int MAX_DISCOVERY_MILLIS = 1_200;

    /** Milliseconds within which all processes start again. */
    private static final int START_MILLIS = 300;

    /** Interval at which a request that waits for the use of the others is looked at again. */
    private static final int POLL_MILLIS = 10;

    private static final ProcessId AGGREGATOR = new ProcessId("p0");

    private final Random random;
    private final RelayTeam team;
    private final int count;
    private final int meanCost;
    private final double demand;
    private final int durationMillis;
    private final List<Life> lives = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingInt(Event::millis).thenComparingLong(Event::sequence));
    private final Deque<Use> window = new ArrayDeque<>();
    private long sequence;
    private int millis;
    private int measuredFromMillis;
    private int generation;
    private double windowUse;
    private double worstUse;
    private double exact;
    private int exactMillis;
    private long passable;
    private long refused;

    private record Event(int millis, long sequence, Runnable action) {}

    private record Use(int millis, double units) {}

    /** One life of a process. */
    private final class Life {
        private final int lifeGeneration = generation;
        private final ProcessId id;
        private final ProcessCount processes = new ProcessCount(330, now());
        private final QuotaLimiter limiter = new QuotaLimiter(SLACK, OVERRUN, processes, new Random(random.nextLong()));

        Life(int index) {
            id = new ProcessId("p" + index);
            processes.onActive(now());
            processes.onRegisteredAt(listedEndpoints(), now());
            limiter.onTeams(List.of(team), now());
            limiter.setQuestionListener(() -> after(0, this::ask));
            int discovery = MIN_DISCOVERY_MILLIS + random.nextInt(MAX_DISCOVERY_MILLIS - MIN_DISCOVERY_MILLIS);
            after(discovery, () -> {
                processes.onLive(count, now());
                limiter.onAggregators(List.of(AGGREGATOR), now());
                report();
            });
        }

        private void report() {
            if (lifeGeneration != generation) {
                return;
            }
            processes.onActive(now());
            Optional<List<TeamUsage>> earlier = limiter.needsLevels(AGGREGATOR, now())
                    ? Optional.of(limiter.acknowledgedUsage(now()))
                    : Optional.empty();
            exchange(limiter.localUsage(), earlier, limiter.report(AGGREGATOR, now()), true);
            after(Math.min(400, Math.max(200, 2 * count)), this::report);
        }

        private void ask() {
            if (lifeGeneration == generation) {
                limiter.nextQuestion(now())
                        .ifPresent(
                                question -> exchange(question.usages(), Optional.empty(), question.request(), false));
            }
        }

        private void exchange(
                List<TeamUsage> usages, Optional<List<TeamUsage>> earlier, QuotaRequest request, boolean complete) {
            lives.stream()
                    .filter(life -> life.id.equals(AGGREGATOR))
                    .findFirst()
                    .ifPresent(aggregator -> {
                        QuotaLedger ledger = aggregator.limiter.ledger();
                        QuotaAnswer answer = ledger.onRequest(id, usages, earlier, request, complete, now());
                        limiter.onAnswer(AGGREGATOR, answer, ledger.reportingProcesses(now()), now());
                    });
        }
    }

    /**
     * Holds the figures of a simulation.
     *
     * @param worst the largest use of a window as a fraction of what the rule allows
     * @param refused requests that were refused although an exact limiter would pass them, as a fraction of what it passes
     */
    record Figures(double worst, double refused) {}

    /**
     * Creates a simulation.
     *
     * @param count number of processes
     * @param ratePerSecond the team's limit in tokens per second, which is its burst, too
     * @param meanCost mean tokens of a request
     * @param demand what the team sends, as a fraction of its limit
     * @param durationMillis simulated time
     * @param seed seed of all random choices
     */
    QuotaStartSimulation(int count, long ratePerSecond, int meanCost, double demand, int durationMillis, long seed) {
        this.count = count;
        this.meanCost = meanCost;
        this.demand = demand;
        this.durationMillis = durationMillis;
        this.random = new Random(seed);
        this.team = new RelayTeam(
                new TeamId("t"), List.of("k"), OptionalInt.empty(), true, 0, ratePerSecond, ratePerSecond);
        this.exact = team.burst();
        startAll();
        after(1, this::request);
    }

    /** Kills all processes and starts them again, once or repeatedly. */
    QuotaStartSimulation kill(int fromMillis, int untilMillis, int intervalMillis) {
        for (int at = fromMillis; at < untilMillis; at += intervalMillis) {
            after(at, this::startAll);
        }
        return this;
    }

    /** Leaves the windows that end before a time out of the figures. */
    QuotaStartSimulation measureFrom(int fromMillis) {
        measuredFromMillis = fromMillis;
        return this;
    }

    private void startAll() {
        generation++;
        lives.clear();
        for (int i = 0; i < count; i++) {
            int index = i;
            int of = generation;
            after(random.nextInt(START_MILLIS), () -> {
                if (of == generation) {
                    lives.add(new Life(index));
                }
            });
        }
    }

    /** Returns the addresses of all processes, and once more those of their killed predecessors. */
    private List<String> listedEndpoints() {
        List<String> endpoints = new ArrayList<>();
        for (int run = generation > 1 ? 0 : 1; run < 2; run++) {
            IntStream.range(0, count).forEach(i -> endpoints.add("10.0.0." + i + ":7000"));
        }
        return endpoints;
    }

    private void request() {
        int cost = Math.max(1, (int) (meanCost * (0.5 + random.nextDouble())));
        exact = Math.min(team.burst(), exact + team.ratePerSecond() * (millis - exactMillis) / 1_000.0);
        exactMillis = millis;
        if (!lives.isEmpty()) {
            Life life = lives.get(random.nextInt(lives.size()));
            boolean passes = exact >= cost;
            exact -= passes ? cost : 0;
            decide(life, life.limiter.request(team, cost, now()), cost, passes);
        }
        double perMilli = demand * team.ratePerSecond() / meanCost / 1_000.0;
        // Several requests may fall into one millisecond.
        double wait = -Math.log(1 - random.nextDouble()) / perMilli;
        at(millis + (int) (wait + random.nextDouble()), this::request);
    }

    private void decide(Life life, QuotaAdmission admission, int cost, boolean passes) {
        if (life.lifeGeneration != generation) {
            return;
        }
        if (admission instanceof QuotaAdmission.Waiting waiting) {
            after(POLL_MILLIS, () -> decide(life, life.limiter.poll(waiting.ticket(), now()), cost, passes));
        } else {
            onDecided(admission instanceof QuotaAdmission.Admitted, cost, passes);
        }
    }

    private void onDecided(boolean admitted, int cost, boolean passes) {
        if (passes) {
            passable++;
            refused += admitted ? 0 : 1;
        }
        if (admitted) {
            use(cost);
        }
    }

    private void use(double units) {
        window.add(new Use(millis, units));
        windowUse += units;
        while (window.peek().millis() <= millis - WINDOW_MILLIS) {
            windowUse -= window.poll().units();
        }
        worstUse = millis < measuredFromMillis ? worstUse : Math.max(worstUse, windowUse);
    }

    /** Runs the simulation to its end. */
    Figures run() {
        while (!events.isEmpty() && events.peek().millis() < durationMillis) {
            Event next = events.poll();
            millis = next.millis();
            next.action().run();
        }
        double allowed = (team.ratePerSecond() * WINDOW_MILLIS / 1_000.0 + team.burst()) * (1 + OVERRUN) + SLACK;
        return new Figures(worstUse / allowed, (double) refused / Math.max(1, passable));
    }

    private long now() {
        return millis * Calls.MILLI;
    }

    private void after(int delayMillis, Runnable action) {
        at(millis + delayMillis, action);
    }

    private void at(int atMillis, Runnable action) {
        events.add(new Event(atMillis, sequence++, action));
    }
}
