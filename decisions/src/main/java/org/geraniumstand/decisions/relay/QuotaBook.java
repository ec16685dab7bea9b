package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
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

    /** Seconds of the rate that a process that has just started takes to be left; others may have used the rest. */
    private static final double START_SECONDS = 0.5;

    /** Milliseconds after which a process counts as not heard; processes tell a few times a second. */
    private static final long HEARD_MILLIS = 1_000;

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
    private final Map<ProcessId, Heard> others = new HashMap<>();
    private Set<ProcessId> members = Set.of();

    private static final class Level {
        private double left;
        private long atNanos;
    }

    private static final class Heard {
        private final Map<TeamId, Long> used = new HashMap<>();
        private long atNanos;
    }

    /**
     * Creates a book in which nothing was used.
     *
     * @param slack units by which quotas may be exceeded over all processes
     * @param overrun part by which rates may be exceeded
     */
    public QuotaBook(double slack, double overrun) {
        this.slack = slack * USED_SLACK;
        this.overrun = overrun * USED_SLACK;
    }

    /**
     * Takes in the teams of a plan, so that their quotas begin to fill.
     *
     * @param teams the teams
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTeams(List<RelayTeam> teams, long nowNanos) {
        teams.forEach(team -> refill(team, nowNanos));
    }

    /**
     * Takes in which other processes live.
     *
     * @param live the other processes
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onMembers(Set<ProcessId> live, long nowNanos) {
        members = Set.copyOf(live);
        others.keySet().retainAll(live);
        live.forEach(process -> others.computeIfAbsent(process, _key -> heardAt(nowNanos)));
    }

    private static Heard heardAt(long nowNanos) {
        Heard heard = new Heard();
        heard.atNanos = nowNanos;
        return heard;
    }

    /**
     * Takes in what another process let teams use.
     *
     * @param process the process
     * @param uses its uses since it started, less what it gave back
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onOther(ProcessId process, List<TeamUse> uses, long nowNanos) {
        Heard heard = others.computeIfAbsent(process, _key -> heardAt(nowNanos));
        heard.atNanos = nowNanos;
        for (TeamUse use : uses) {
            Long before = heard.used.put(use.team(), use.units());
            long more = use.units() - (before == null ? 0 : before);
            Level level = levels.get(use.team());
            if (level != null) {
                level.left -= more;
            }
        }
    }

    /** Returns what this process let teams use since it started. */
    public List<TeamUse> own() {
        List<TeamUse> uses = new ArrayList<>();
        used.forEach((team, units) -> uses.add(new TeamUse(team, units)));
        return uses;
    }

    /** Returns the units that all processes let all teams use since they started, as far as they told. */
    public long total() {
        long sum = 0;
        for (long units : used.values()) {
            sum += units;
        }
        for (Heard heard : others.values()) {
            for (long units : heard.used.values()) {
                sum += units;
            }
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
        if (level.left + slack < cost) {
            double rate = Math.max(team.ratePerSecond(), 1e-3);
            long wait = Math.round((cost - level.left - slack) / rate * MILLIS_IN_SECOND);
            return OptionalLong.of(Math.max(LEAST_RETRY_MILLIS, Math.min(MOST_RETRY_MILLIS, wait)));
        }
        level.left -= cost;
        used.merge(team.id(), cost, Long::sum);
        return OptionalLong.empty();
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
            level.left = Math.min(team.burst(), START_SECONDS * team.ratePerSecond());
            level.atNanos = nowNanos;
            levels.put(team.id(), level);
        }
        double seconds = Math.max(0, nowNanos - level.atNanos) / NANOS_IN_SECOND;
        double share = 1 - (double) silent(nowNanos) / (members.size() + 1);
        level.left = Math.min(team.burst(), level.left + team.ratePerSecond() * (1 + overrun) * share * seconds);
        level.left = Math.max(level.left, -MOST_DEBT * team.burst());
        level.atNanos = nowNanos;
        return level;
    }

    private long silent(long nowNanos) {
        return others.values().stream()
                .filter(heard -> nowNanos - heard.atNanos > HEARD_MILLIS * Moment.NANOS_PER_MILLI)
                .count();
    }
}
