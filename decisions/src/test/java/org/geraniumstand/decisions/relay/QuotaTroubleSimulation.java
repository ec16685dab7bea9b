package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.TeamUsage;

/**
 * Simulates processes that keep the quota of one team while some of them are killed, stopped, frozen or cut off from all
 * others, in virtual time. The processes report to aggregators as {@code PeerTask} does; messages take time, members are
 * found and lost late, and callers reach all processes throughout.
 */
final class QuotaTroubleSimulation {
    private static final double SLACK = 72_000;
    private static final double OVERRUN = 0.1;
    private static final int WINDOW_MILLIS = 8_000;
    private static final int LOST_MILLIS = 4_000;
    private static final int STOPPING_MILLIS = 3_000;
    private static final int POLL_MILLIS = 10;

    private final Random random;
    private final RelayTeam team;
    private final int meanCost;
    private final Host[] hosts;
    private final List<Life> lives = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingInt(Event::millis).thenComparingLong(Event::sequence));
    private final Deque<Use> window = new ArrayDeque<>();
    private double demand;
    private int maxLatencyMillis = 20;
    private int measuredFromMillis;
    private int millis;
    private long sequence;
    private double windowUse;
    private double worstUse;
    private double exact;
    private int exactMillis;
    private double passable;
    private double refused;
    private double usedUnits;

    private record Event(int millis, long sequence, Runnable action) {}

    private record Use(int millis, double units) {}

    /**
     * Holds the figures of a simulation.
     *
     * @param worst the largest use of a window as a fraction of what the rule allows
     * @param refused units that were refused although an exact limiter would pass them, as a fraction of what it passes
     * @param used units that were used from the measured time on, as a fraction of the team's rate
     */
    record Figures(double worst, double refused, double used) {}

    /** An address at which one process after the other runs. */
    private static final class Host {
        private Life serving;
        private boolean cut;
    }

    /** One life of a process. */
    private final class Life {
        private final int host;
        private final ProcessId id;
        private final ProcessCount processes = new ProcessCount(330, now());
        private final QuotaLimiter limiter = new QuotaLimiter(SLACK, OVERRUN, processes, new Random(random.nextLong()));
        private final Map<ProcessId, Life> members = new LinkedHashMap<>();
        private List<ProcessId> aggregators = List.of();
        private boolean ended;
        private int frozenUntilMillis;
        private int chokedUntilMillis;
        private int chokedMillis;

        Life(int host) {
            this.host = host;
            this.id = new ProcessId("p" + host + "-" + sequence);
            members.put(id, this);
            processes.onActive(now());
            List<String> listed = new ArrayList<>();
            for (int i = 0; i < hosts.length; i++) {
                listed.add("host-" + i);
            }
            processes.onRegisteredAt(listed, now());
            limiter.onTeams(List.of(team), now());
            limiter.setQuestionListener(() -> after(0, this::ask));
            after(between(300, 1_200), this::join);
            after(interval(), this::report);
        }

        private int interval() {
            return Math.min(400, Math.max(200, 2 * hosts.length));
        }

        private void join() {
            for (Life other : List.copyOf(lives)) {
                if (other != this && reaches(other)) {
                    members.put(other.id, other);
                    after(between(0, 300), () -> other.onJoined(this));
                }
            }
            onMembers();
        }

        private void onJoined(Life other) {
            if (!ended && !other.ended && reaches(other)) {
                members.put(other.id, other);
                onMembers();
            }
        }

        private void onLost(Life other) {
            if (!ended && members.remove(other.id) != null) {
                onMembers();
            }
        }

        private boolean reaches(Life other) {
            return this == other || !(ended || other.ended || hosts[host].cut || hosts[other.host].cut);
        }

        private boolean runs() {
            return !ended && millis >= frozenUntilMillis;
        }

        private void onMembers() {
            if (!runs()) {
                after(Math.max(1, frozenUntilMillis - millis), () -> {
                    if (!ended) {
                        onMembers();
                    }
                });
                return;
            }
            aggregators = TaskCoordinators.select(TaskCoordinators.Task.ADD_UP_USE, members.keySet());
            limiter.ledger().retain(Set.copyOf(members.keySet()), now());
            limiter.onAggregators(aggregators, now())
                    .forEach((former, request) -> lives.stream()
                            .filter(life -> life.id.equals(former))
                            .forEach(life -> send(
                                    life,
                                    () -> life.onRequest(
                                            this, limiter.localUsage(), Optional.empty(), request, true))));
            processes.onLiveAt(
                    members.values().stream()
                            .map(member -> "host-" + member.host)
                            .toList(),
                    now());
        }

        private void report() {
            if (ended) {
                return;
            }
            after(interval(), this::report);
            if (!runs()) {
                return;
            }
            processes.onActive(now());
            List<TeamUsage> usages = limiter.localUsage();
            List<TeamUsage> earlier = limiter.acknowledgedUsage(now());
            for (Life other : List.copyOf(members.values())) {
                if (aggregators.contains(other.id)) {
                    boolean needsLevels = limiter.needsLevels(other.id, now());
                    QuotaRequest request = limiter.report(other.id, now());
                    Optional<List<TeamUsage>> counted = needsLevels ? Optional.of(earlier) : Optional.empty();
                    send(other, () -> other.onRequest(this, usages, counted, request, true));
                }
            }
        }

        private void ask() {
            if (runs()) {
                limiter.nextQuestion(now()).ifPresent(question -> {
                    Life asked = members.get(question.aggregator());
                    if (asked != null) {
                        send(
                                asked,
                                () -> asked.onRequest(
                                        this, question.usages(), Optional.empty(), question.request(), false));
                    }
                });
            }
        }

        private void onRequest(
                Life from,
                List<TeamUsage> usages,
                Optional<List<TeamUsage>> earlier,
                QuotaRequest request,
                boolean complete) {
            QuotaAnswer answer = limiter.ledger().onRequest(from.id, usages, earlier, request, complete, now());
            int reporting = limiter.ledger().reportingProcesses(now());
            send(from, () -> from.limiter.onAnswer(id, answer, reporting, now()));
        }

        private void send(Life to, Runnable message) {
            int delay = chokedUntilMillis > millis ? between(chokedMillis / 2, chokedMillis) : 0;
            after(this == to ? 1 : delay + between(1, maxLatencyMillis), () -> {
                if (reaches(to) && !to.ended) {
                    // What reaches a frozen process is read when it goes on.
                    after(Math.max(0, to.frozenUntilMillis - millis), () -> {
                        if (!to.ended) {
                            message.run();
                        }
                    });
                }
            });
        }

        private void end() {
            ended = true;
            lives.remove(this);
            for (Life other : lives) {
                after(LOST_MILLIS + between(0, 1_000), () -> other.onLost(this));
            }
        }
    }

    /**
     * Creates a simulation in which all processes start at once.
     *
     * @param count number of processes
     * @param ratePerSecond the team's limit in tokens per second, which is its burst, too
     * @param meanCost mean tokens of a request
     * @param demand what the team sends, as a fraction of its limit
     * @param seed seed of all random choices
     */
    QuotaTroubleSimulation(int count, long ratePerSecond, int meanCost, double demand, long seed) {
        this.meanCost = meanCost;
        this.demand = demand;
        this.random = new Random(seed);
        this.hosts = new Host[count];
        this.team = new RelayTeam(
                new TeamId("t"), List.of("k"), OptionalInt.empty(), true, 0, ratePerSecond, ratePerSecond);
        this.exact = team.burst();
        for (int i = 0; i < count; i++) {
            hosts[i] = new Host();
            int host = i;
            after(between(0, 300), () -> start(host));
        }
        after(1, this::request);
    }

    /** Changes what the team sends from a time on. */
    QuotaTroubleSimulation demandFrom(int atMillis, double next) {
        at(atMillis, () -> demand = next);
        return this;
    }

    /** Measures from a time on. */
    QuotaTroubleSimulation measureFrom(int fromMillis) {
        measuredFromMillis = fromMillis;
        return this;
    }

    /** Delays messages by up to a time. */
    QuotaTroubleSimulation latency(int maxMillis) {
        maxLatencyMillis = maxMillis;
        return this;
    }

    /** Kills processes at once; they start again within 300 ms after a time. */
    QuotaTroubleSimulation kill(int atMillis, int downMillis, IntPredicate which) {
        at(atMillis, () -> {
            for (int i = 0; i < hosts.length; i++) {
                if (which.test(i) && hosts[i].serving != null) {
                    Life life = hosts[i].serving;
                    hosts[i].serving = null;
                    life.end();
                    int host = i;
                    after(downMillis + between(0, 300), () -> start(host));
                }
            }
        });
        return this;
    }

    /** Restarts processes in turn: each stops, serves for 3 s more, ends and starts again. */
    QuotaTroubleSimulation restartInTurn(int fromMillis, int gapMillis) {
        for (int i = 0; i < hosts.length; i++) {
            Host host = hosts[i];
            int index = i;
            at(fromMillis + i * gapMillis, () -> {
                Life life = host.serving;
                if (life != null) {
                    lives.forEach(other -> after(between(0, 200), () -> other.onLost(life)));
                    after(STOPPING_MILLIS, () -> {
                        host.serving = null;
                        life.end();
                        after(300, () -> start(index));
                    });
                }
            });
        }
        return this;
    }

    /** Cuts processes off from all others, each of them on its own. */
    QuotaTroubleSimulation cut(int fromMillis, int untilMillis, IntPredicate which) {
        at(fromMillis, () -> setCut(which, true));
        at(untilMillis, () -> setCut(which, false));
        return this;
    }

    private void setCut(IntPredicate which, boolean cut) {
        for (int i = 0; i < hosts.length; i++) {
            if (which.test(i)) {
                hosts[i].cut = cut;
            }
        }
        for (Life one : List.copyOf(lives)) {
            for (Life other : List.copyOf(lives)) {
                if (one != other && (which.test(one.host) || which.test(other.host))) {
                    int delay = cut ? LOST_MILLIS + between(0, 1_000) : between(300, 1_200);
                    after(delay, () -> {
                        if (one.reaches(other)) {
                            one.onJoined(other);
                        } else {
                            one.onLost(other);
                        }
                    });
                }
            }
        }
    }

    /** Freezes processes for a time. */
    QuotaTroubleSimulation freeze(int atMillis, int forMillis, IntPredicate which) {
        at(
                atMillis,
                () -> lives.stream()
                        .filter(life -> which.test(life.host))
                        .forEach(life -> life.frozenUntilMillis = millis + forMillis));
        return this;
    }

    /** Delays all that the first of the processes that add up the use sends. */
    QuotaTroubleSimulation chokeAggregator(int fromMillis, int untilMillis, int delayMillis) {
        at(fromMillis, () -> {
            ProcessId first = lives.get(0).aggregators.get(0);
            lives.stream().filter(life -> life.id.equals(first)).forEach(life -> {
                life.chokedUntilMillis = untilMillis;
                life.chokedMillis = delayMillis;
            });
        });
        return this;
    }

    /** Kills the processes that add up the use at a time. */
    QuotaTroubleSimulation killAggregators(int atMillis, int downMillis) {
        at(atMillis, () -> {
            List<ProcessId> aggregators = lives.get(0).aggregators;
            kill(millis, downMillis, i -> hosts[i].serving != null && aggregators.contains(hosts[i].serving.id));
        });
        return this;
    }

    private void start(int host) {
        if (hosts[host].serving == null) {
            Life life = new Life(host);
            hosts[host].serving = life;
            lives.add(life);
        }
    }

    private void request() {
        int cost = Math.max(1, (int) (meanCost * (0.5 + random.nextDouble())));
        exact = Math.min(team.burst(), exact + team.ratePerSecond() * (millis - exactMillis) / 1_000.0);
        exactMillis = millis;
        Life life = hosts[random.nextInt(hosts.length)].serving;
        if (life != null && life.runs()) {
            boolean passes = exact >= cost;
            if (passes) {
                exact -= cost;
            }
            admit(life, cost, passes);
        }
        double perMilli = demand * team.ratePerSecond() / meanCost / 1_000.0;
        double wait = -Math.log(1 - random.nextDouble()) / perMilli;
        at(millis + (int) (wait + random.nextDouble()), this::request);
    }

    private void admit(Life life, int cost, boolean passes) {
        decide(life, life.limiter.request(team, cost, now()), cost, passes);
    }

    private void decide(Life life, QuotaAdmission admission, int cost, boolean passes) {
        if (life.ended) {
            return;
        }
        if (admission instanceof QuotaAdmission.Waiting waiting) {
            after(
                    Math.max(POLL_MILLIS, life.frozenUntilMillis - millis),
                    () -> decide(life, life.limiter.poll(waiting.ticket(), now()), cost, passes));
        } else {
            onDecided(admission instanceof QuotaAdmission.Admitted, cost, passes);
        }
    }

    private void onDecided(boolean admitted, int cost, boolean passes) {
        if (admitted) {
            use(cost);
        }
        if (passes && millis >= measuredFromMillis) {
            passable += cost;
            refused += admitted ? 0 : cost;
        }
    }

    private void use(double units) {
        usedUnits += millis < measuredFromMillis ? 0 : units;
        window.add(new Use(millis, units));
        windowUse += units;
        while (window.peek().millis() <= millis - WINDOW_MILLIS) {
            windowUse -= window.poll().units();
        }
        worstUse = millis < measuredFromMillis ? worstUse : Math.max(worstUse, windowUse);
    }

    /** Runs the simulation up to a time. */
    Figures run(int untilMillis) {
        while (!events.isEmpty() && events.peek().millis() < untilMillis) {
            Event next = events.poll();
            millis = next.millis();
            next.action().run();
        }
        double allowed = (team.ratePerSecond() * WINDOW_MILLIS / 1_000.0 + team.burst()) * (1 + OVERRUN) + SLACK;
        double rateUnits = team.ratePerSecond() * (untilMillis - measuredFromMillis) / 1_000.0;
        return new Figures(worstUse / allowed, refused / Math.max(1, passable), usedUnits / rateUnits);
    }

    private int between(int min, int max) {
        return min + random.nextInt(max - min + 1);
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
