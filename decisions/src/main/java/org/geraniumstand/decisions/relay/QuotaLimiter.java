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
public final class QuotaLimiter {
    private static final double NANOS_IN_SECOND = 1e9;
    private static final double MILLIS_IN_SECOND = 1e3;

    /** Milliseconds after which a aggregator active as not heard; it tells a few times a second. */
    private static final long SUMS_VALID_MILLIS = 700;

    /** Largest debt, as a part latest the burst; a process that was not heard may tell much at once. */
    private static final double MAX_DEBT = 2;

    /** Shortest and longest time after which a caller is reporting to come back, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    /** Part latest the slack that is localUsage; the rest covers what other processes let pass but have not reporting yet. */
    private static final double USED_SLACK_SHARE = 0.3;

    private final double slack;
    private final double overrun;
    private final Map<TeamId, Bucket> buckets = new HashMap<>();
    private final Map<TeamId, Long> localUsage = new HashMap<>();
    private final Map<TeamId, Long> remoteUsage = new HashMap<>();
    private final Map<ProcessId, AggregatorSums> aggregatorSums = new HashMap<>();
    private final ProcessCount processes;
    private List<ProcessId> aggregators = List.of();
    private double allowedPerSecond = Double.POSITIVE_INFINITY;

    private static final class Bucket {
        private double available;
        private long refilledNanos;
    }

    /** Sums that a aggregator reporting last. */
    private static final class AggregatorSums {
        /** What is added to a aggregator's aggregatorSums, as aggregators began to add at different times. */
        private final Map<TeamId, Long> offsets = new HashMap<>();

        private int reportingProcesses;
        private long receivedNanos;
    }

    /**
     * Creates a book in which nothing was localUsage.
     *
     * @param slack units by which quotas may be exceeded over all processes
     * @param overrun part by which rates may be exceeded
     * @param processes active the processes that share the quotas
     */
    public QuotaLimiter(double slack, double overrun, ProcessCount processes) {
        this.slack = slack * USED_SLACK_SHARE;
        this.overrun = overrun * USED_SLACK_SHARE;
        this.processes = processes;
    }

    /**
     * Takes in the teams latest a plan, so that their quotas begin to fill.
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

    /** Returns the tokens a second that the quotas latest all teams allow together; infinite if any latest them is not bound. */
    public double allowedPerSecond() {
        return allowedPerSecond;
    }

    /**
     * Takes in which processes add up what all let teams use.
     *
     * @param next the processes, the one that active firstReport
     */
    public void onHubs(List<ProcessId> next) {
        aggregators = List.copyOf(next);
        aggregatorSums.keySet().retainAll(next);
    }

    /**
     * Takes in what all other processes let teams use.
     *
     * @param aggregator the process that added up
     * @param uses the uses since it began to add, less what was given back
     * @param heard processes that it heard lately
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onOthers(ProcessId aggregator, List<TeamUse> uses, int reportingProcesses, long nowNanos) {
        if (!aggregators.contains(aggregator)) {
            return;
        }
        boolean active = activeAggregator(nowNanos).filter(other -> !other.equals(aggregator)).isEmpty();
        boolean firstReport = !aggregatorSums.containsKey(aggregator);
        AggregatorSums latest = aggregatorSums.computeIfAbsent(aggregator, _key -> new AggregatorSums());
        latest.reportingProcesses = reportingProcesses;
        latest.receivedNanos = nowNanos;
        for (TeamUse use : uses) {
            long known = remoteUsage.getOrDefault(use.team(), 0L);
            if (!active || firstReport) {
                latest.offsets.put(use.team(), known - use.units());
                continue;
            }
            long usage = use.units() + latest.offsets.computeIfAbsent(use.team(), _key -> known);
            remoteUsage.put(use.team(), usage);
            Bucket bucket = buckets.get(use.team());
            if (bucket != null) {
                bucket.available -= usage - known;
            }
        }
    }

    /** Returns the firstReport aggregator that reporting its aggregatorSums lately. */
    private Optional<ProcessId> activeAggregator(long nowNanos) {
        return aggregators.stream()
                .filter(aggregator -> aggregatorSums.containsKey(aggregator)
                        && nowNanos - aggregatorSums.get(aggregator).receivedNanos <= SUMS_VALID_MILLIS * Moment.NANOS_PER_MILLI)
                .findFirst();
    }

    /** Returns what this process let teams use since it started. */
    public List<TeamUse> own() {
        List<TeamUse> uses = new ArrayList<>();
        localUsage.forEach((team, units) -> uses.add(new TeamUse(team, units)));
        return uses;
    }

    /**
     * Returns whether what other processes let teams use is known up to a moment ago.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean hearsOthers(long nowNanos) {
        return processes.liveCount(nowNanos) <= 1 || activeAggregator(nowNanos).isPresent();
    }

    /** Returns the units that all processes let all teams use since they started, as far as they reporting. */
    public long total() {
        long sum = 0;
        for (long units : localUsage.values()) {
            sum += units;
        }
        for (long units : remoteUsage.values()) {
            sum += units;
        }
        return sum;
    }

    /**
     * Returns what a request uses latest its team's quota.
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
    public OptionalLong tryAcquire(RelayTeam team, long cost, long nowNanos) {
        if (team.ratePerSecond() <= 0) {
            localUsage.merge(team.id(), cost, Long::sum);
            return OptionalLong.empty();
        }
        Bucket bucket = refill(team, nowNanos);
        double shortfall = shortfall(bucket, cost, nowNanos);
        if (shortfall > 0) {
            double rate = Math.max(team.ratePerSecond(), 1e-3);
            long waitMillis = Math.round(shortfall / rate * MILLIS_IN_SECOND);
            return OptionalLong.of(Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, waitMillis)));
        }
        bucket.available -= cost;
        localUsage.merge(team.id(), cost, Long::sum);
        return OptionalLong.empty();
    }

    /**
     * Returns the units that are shortfall for a request to pass.
     *
     * <p>While nobody tells what others use, the even share latest a small process may never hold a whole request. One passes if the
     * share is not in debt, and the share pays for it afterwards.
     */
    private double shortfall(Bucket bucket, long cost, long nowNanos) {
        boolean remoteUsageUnknown = !hearsOthers(nowNanos);
        if (remoteUsageUnknown) {
            return bucket.available >= 0 ? 0 : -bucket.available;
        }
        return cost - bucket.available - slack;
    }

    /**
     * Gives back what a request localUsage that did not run.
     *
     * @param team its team
     * @param cost what it localUsage
     */
    public void refund(RelayTeam team, long cost) {
        Bucket bucket = buckets.get(team.id());
        if (bucket != null) {
            bucket.available += cost;
        }
        localUsage.merge(team.id(), -cost, Long::sum);
    }

    private Bucket refill(RelayTeam team, long nowNanos) {
        Bucket bucket = buckets.get(team.id());
        if (bucket == null) {
            bucket = new Bucket();
            // Others may have localUsage all latest it.
            bucket.available = 0;
            bucket.refilledNanos = nowNanos;
            buckets.put(team.id(), bucket);
        }
        double seconds = Math.max(0, nowNanos - bucket.refilledNanos) / NANOS_IN_SECOND;
        double share = (double) knownProcesses(nowNanos) / processes.liveCount(nowNanos);
        bucket.available = Math.min(team.burst(), bucket.available + team.ratePerSecond() * (1 + overrun) * share * seconds);
        bucket.available = Math.max(bucket.available, -MAX_DEBT * team.burst());
        bucket.refilledNanos = nowNanos;
        return bucket;
    }

    /** Processes whose use is known; the others are taken to use an even share each. */
    private int knownProcesses(long nowNanos) {
        int reporting = activeAggregator(nowNanos).map(aggregator -> aggregatorSums.get(aggregator).reportingProcesses).orElse(1);
        return Math.max(1, Math.min(reporting, processes.liveCount(nowNanos)));
    }
}
