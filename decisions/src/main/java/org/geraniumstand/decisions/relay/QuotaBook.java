package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.TeamUse;
import org.geraniumstand.model.time.Moment;

/** Keeps teams within their quotas over all processes; it belongs to one thread. */
@Decision(
        name = "team-quota",
        summary = "A team's requests pass while its quota, less what all processes let it use, is not used up; a"
                + " process that is not heard is taken to use an even share.")
public final class QuotaBook {
    private static final double NANOS_IN_SECOND = 1e9;
    private static final double MILLIS_IN_SECOND = 1e3;

    /** Milliseconds after which a hub counts as not heard; it tells a few times a second. */
    private static final long HEARD_MILLIS = 700;

    /** Largest debt, as a part of the burst; a process that was not heard may tell much at once. */
    private static final double MOST_DEBT = 2;

    /** Shortest and longest time after which a caller is told to come back, in milliseconds. */
    private static final long LEAST_RETRY_MILLIS = 100;

    private static final long MOST_RETRY_MILLIS = 5_000;

    /** Part of the slack that is used; the rest covers what other processes let pass but have not told yet. */
    private static final double USED_SLACK = 0.3;

    private final double slack;
    private final double overrun;
    private final Map<TeamId, Level> levels = new HashMap<>();
    private final Map<TeamId, Long> used = new HashMap<>();
    private final Map<TeamId, Long> othersUsed = new HashMap<>();
    private final Map<ProcessId, HubSums> sums = new HashMap<>();
    private final ProcessCount processes;
    private List<ProcessId> hubs = List.of();
    private double allowedPerSecond = Double.POSITIVE_INFINITY;

    private static final class Level {
        private double left;
        private long atNanos;
    }

    /** Sums that a hub told last. */
    private static final class HubSums {
        /** What is added to a hub's sums, as hubs began to add at different times. */
        private final Map<TeamId, Long> offsets = new HashMap<>();

        private int heard;
        private long atNanos;
    }

    /**
     * Creates a book in which nothing was used.
     *
     * @param slack units by which quotas may be exceeded over all processes
     * @param overrun part by which rates may be exceeded
     * @param processes counts the processes that share the quotas
     */
    public QuotaBook(double slack, double overrun, ProcessCount processes) {
        this.slack = slack * USED_SLACK;
        this.overrun = overrun * USED_SLACK;
        this.processes = processes;
    }

    /**
     * Takes in the teams of a plan, so that their quotas begin to fill.
     *
     * @param teams the teams
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTeams(List<RelayTeam> teams, long nowNanos) {
        teams.forEach(team -> refill(team, nowNanos));
        boolean bounded = !teams.isEmpty() && teams.stream().allMatch(t -> t.countsTokens() && t.ratePerSecond() > 0);
        allowedPerSecond =
                bounded ? teams.stream().mapToDouble(RelayTeam::ratePerSecond).sum() : Double.POSITIVE_INFINITY;
    }

    /** Returns the tokens a second that the quotas of all teams allow together; infinite if any of them is not bound. */
    public double allowedPerSecond() {
        return allowedPerSecond;
    }

    /**
     * Takes in which processes add up what all let teams use.
     *
     * @param next the processes, the one that counts first
     */
    public void onHubs(List<ProcessId> next) {
        hubs = List.copyOf(next);
        sums.keySet().retainAll(next);
    }

    /**
     * Takes in what all other processes let teams use.
     *
     * @param hub the process that added up
     * @param uses the uses since it began to add, less what was given back
     * @param heard processes that it heard lately
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onOthers(ProcessId hub, List<TeamUse> uses, int heard, long nowNanos) {
        if (!hubs.contains(hub)) {
            return;
        }
        boolean counts = counting(nowNanos).filter(other -> !other.equals(hub)).isEmpty();
        boolean first = !sums.containsKey(hub);
        HubSums of = sums.computeIfAbsent(hub, _key -> new HubSums());
        of.heard = heard;
        of.atNanos = nowNanos;
        for (TeamUse use : uses) {
            long known = othersUsed.getOrDefault(use.team(), 0L);
            if (!counts || first) {
                of.offsets.put(use.team(), known - use.units());
                continue;
            }
            long now = use.units() + of.offsets.computeIfAbsent(use.team(), _key -> known);
            othersUsed.put(use.team(), now);
            Level level = levels.get(use.team());
            if (level != null) {
                level.left -= now - known;
            }
        }
    }

    /** Returns the first hub that told its sums lately. */
    private Optional<ProcessId> counting(long nowNanos) {
        return hubs.stream()
                .filter(hub -> sums.containsKey(hub)
                        && nowNanos - sums.get(hub).atNanos <= HEARD_MILLIS * Moment.NANOS_PER_MILLI)
                .findFirst();
    }

    /** Returns what this process let teams use since it started. */
    public List<TeamUse> own() {
        List<TeamUse> uses = new ArrayList<>();
        used.forEach((team, units) -> uses.add(new TeamUse(team, units)));
        return uses;
    }

    /**
     * Returns whether what other processes let teams use is known up to a moment ago.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean hearsOthers(long nowNanos) {
        return processes.live(nowNanos) <= 1 || counting(nowNanos).isPresent();
    }

    /** Returns the units that all processes let all teams use since they started, as far as they told. */
    public long total() {
        long sum = 0;
        for (long units : used.values()) {
            sum += units;
        }
        for (long units : othersUsed.values()) {
            sum += units;
        }
        return sum;
    }

    /**
     * Returns what a request uses of its team's quota.
     *
     * @param team the team
     * @param head the request's head
     */
    public static long cost(RelayTeam team, CallerHead head) {
        if (!team.countsTokens()) {
            return 1;
        }
        return head.counted() ? (long) head.promptTokens() + head.answerTokens() : team.defaultTokens();
    }

    /**
     * Lets a request pass or says when to come back.
     *
     * @param team its team
     * @param cost what it uses
     * @param nowNanos the monotonic time in nanoseconds
     * @return nothing if it passes, else the milliseconds after which the quota allows it
     */
    public OptionalLong spend(RelayTeam team, long cost, long nowNanos) {
        if (team.ratePerSecond() <= 0) {
            used.merge(team.id(), cost, Long::sum);
            return OptionalLong.empty();
        }
        Level level = refill(team, nowNanos);
        double missing = missing(level, cost, nowNanos);
        if (missing > 0) {
            double rate = Math.max(team.ratePerSecond(), 1e-3);
            long wait = Math.round(missing / rate * MILLIS_IN_SECOND);
            return OptionalLong.of(Math.max(LEAST_RETRY_MILLIS, Math.min(MOST_RETRY_MILLIS, wait)));
        }
        level.left -= cost;
        used.merge(team.id(), cost, Long::sum);
        return OptionalLong.empty();
    }

    /**
     * Returns the units that are missing for a request to pass.
     *
     * <p>While nobody tells what others use, the even share of a small process may never hold a whole request. One passes if the
     * share is not in debt, and the share pays for it afterwards.
     */
    private double missing(Level level, long cost, long nowNanos) {
        boolean alone = !hearsOthers(nowNanos);
        if (alone) {
            return level.left >= 0 ? 0 : -level.left;
        }
        return cost - level.left - slack;
    }

    /**
     * Gives back what a request used that did not run.
     *
     * @param team its team
     * @param cost what it used
     */
    public void refund(RelayTeam team, long cost) {
        Level level = levels.get(team.id());
        if (level != null) {
            level.left += cost;
        }
        used.merge(team.id(), -cost, Long::sum);
    }

    private Level refill(RelayTeam team, long nowNanos) {
        Level level = levels.get(team.id());
        if (level == null) {
            level = new Level();
            // Others may have used all of it.
            level.left = 0;
            level.atNanos = nowNanos;
            levels.put(team.id(), level);
        }
        double seconds = Math.max(0, nowNanos - level.atNanos) / NANOS_IN_SECOND;
        double share = (double) heard(nowNanos) / processes.live(nowNanos);
        level.left = Math.min(team.burst(), level.left + team.ratePerSecond() * (1 + overrun) * share * seconds);
        level.left = Math.max(level.left, -MOST_DEBT * team.burst());
        level.atNanos = nowNanos;
        return level;
    }

    /** Processes whose use is known; the others are taken to use an even share each. */
    private int heard(long nowNanos) {
        int told = counting(nowNanos).map(hub -> sums.get(hub).heard).orElse(1);
        return Math.max(1, Math.min(told, processes.live(nowNanos)));
    }
}
