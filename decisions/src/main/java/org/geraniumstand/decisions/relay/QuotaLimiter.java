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
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.time.Timestamp;

/** Enforces the quotas of teams across all processes with token buckets. Not thread-safe. */
@Decision(
        name = "team-quota",
        summary = "A team's requests are admitted until the usage of all processes exhausts its "
                + "quota; a process whose usage is unknown is assumed to use an equal share.")
public final class QuotaLimiter {
    private static final double NANOS_IN_SECOND = 1e9;
    private static final double MILLIS_IN_SECOND = 1e3;

    /** Milliseconds after which the sums of an aggregator expire; it sends them several times a second. */
    private static final long SUMS_VALID_MILLIS = 700;

    /**
     * Maximum debt of a bucket as a multiple of the burst; a process may report much usage at once after an
     * interruption.
     */
    private static final double MAX_DEBT = 2;

    /** Minimum retry delay returned to a caller, in milliseconds; the maximum follows. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    /**
     * Fraction of the slack that is used; the rest covers usage that other processes have admitted but not yet
     * reported.
     */
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

    /** The sums that an aggregator sent last. */
    private static final class AggregatorSums {
        /** Offset added to the aggregator's sum of each team, because aggregators start counting at different times. */
        private final Map<TeamId, Long> offsets = new HashMap<>();

        private int reportingProcesses;
        private long receivedNanos;
    }

    /**
     * Creates a limiter without usage.
     *
     * @param slack units by which a quota may be exceeded over all processes
     * @param overrun fraction by which a rate may be exceeded
     * @param processes count of the processes that share the quotas
     */
    public QuotaLimiter(double slack, double overrun, ProcessCount processes) {
        this.slack = slack * USED_SLACK_SHARE;
        this.overrun = overrun * USED_SLACK_SHARE;
        this.processes = processes;
    }

    /**
     * Registers the teams of a configuration, so that their buckets start to fill.
     *
     * @param teams all teams of the configuration
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTeams(List<RelayTeam> teams, long nowNanos) {
        teams.forEach(team -> refill(team, nowNanos));
        boolean bounded = !teams.isEmpty() && teams.stream().allMatch(t -> t.countsTokens() && t.ratePerSecond() > 0);
        allowedPerSecond =
                bounded ? teams.stream().mapToDouble(RelayTeam::ratePerSecond).sum() : Double.POSITIVE_INFINITY;
    }

    /**
     * Returns the tokens per second that the quotas of all teams allow together; infinite unless every team has a token
     * quota.
     */
    public double allowedPerSecond() {
        return allowedPerSecond;
    }

    /**
     * Records which processes aggregate the quota usage.
     *
     * @param next the aggregators, in order of precedence
     */
    public void onAggregators(List<ProcessId> next) {
        aggregators = List.copyOf(next);
        aggregatorSums.keySet().retainAll(next);
    }

    /**
     * Records the quota usage of all other processes.
     *
     * @param aggregator the aggregator that sent the sums
     * @param usages usage by team since the aggregator started counting, net of refunds
     * @param reportingProcesses number of processes that recently reported to the aggregator
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRemoteUsage(ProcessId aggregator, List<TeamUsage> usages, int reportingProcesses, long nowNanos) {
        if (!aggregators.contains(aggregator)) {
            return;
        }
        boolean active = activeAggregator(nowNanos)
                .filter(other -> !other.equals(aggregator))
                .isEmpty();
        boolean firstReport = !aggregatorSums.containsKey(aggregator);
        AggregatorSums latest = aggregatorSums.computeIfAbsent(aggregator, _key -> new AggregatorSums());
        latest.reportingProcesses = reportingProcesses;
        latest.receivedNanos = nowNanos;
        for (TeamUsage usage : usages) {
            long previousUnits = remoteUsage.getOrDefault(usage.team(), 0L);
            if (!active || firstReport) {
                latest.offsets.put(usage.team(), previousUnits - usage.units());
                continue;
            }
            long totalUnits = usage.units() + latest.offsets.computeIfAbsent(usage.team(), _key -> previousUnits);
            remoteUsage.put(usage.team(), totalUnits);
            Bucket bucket = buckets.get(usage.team());
            if (bucket != null) {
                bucket.available -= totalUnits - previousUnits;
            }
        }
    }

    /** Returns the first aggregator whose sums have not expired. */
    private Optional<ProcessId> activeAggregator(long nowNanos) {
        return aggregators.stream()
                .filter(aggregator -> aggregatorSums.containsKey(aggregator)
                        && nowNanos - aggregatorSums.get(aggregator).receivedNanos
                                <= SUMS_VALID_MILLIS * Timestamp.NANOS_PER_MILLI)
                .findFirst();
    }

    /** Returns the usage that this process has admitted since it started, by team. */
    public List<TeamUsage> localUsage() {
        List<TeamUsage> usages = new ArrayList<>();
        localUsage.forEach((team, units) -> usages.add(new TeamUsage(team, units)));
        return usages;
    }

    /**
     * Returns whether the usage of the other processes is up to date.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean remoteUsageKnown(long nowNanos) {
        return processes.liveCount(nowNanos) <= 1 || activeAggregator(nowNanos).isPresent();
    }

    /**
     * Returns what this process knows of the usage of the other processes.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaKnowledge knowledge(long nowNanos) {
        return new QuotaKnowledge(remoteUsageKnown(nowNanos), knownProcesses(nowNanos), processes.liveCount(nowNanos));
    }

    /** Returns the units that all processes have admitted for all teams since they started, as far as reported. */
    public long totalUsage() {
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
     * Returns the quota units that a request consumes.
     *
     * @param team the team that sent the request
     * @param head the request's head
     */
    public static long cost(RelayTeam team, CallerHead head) {
        if (!team.countsTokens()) {
            return 1;
        }
        return head.hasTokenCounts() ? (long) head.promptTokens() + head.answerTokens() : team.defaultTokens();
    }

    /**
     * Admits a request if its team's quota allows it.
     *
     * @param team the team that sent the request
     * @param cost quota units that the request consumes
     * @param nowNanos the monotonic time in nanoseconds
     * @return empty if the request is admitted, otherwise the delay in milliseconds after which the quota allows it
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
     * Returns the quota units that are missing to admit a request.
     *
     * <p>While the usage of the other processes is unknown, the equal share of this process may never add up to the
     * cost of one request. A request is therefore admitted if the bucket has no debt, and the bucket is charged
     * afterwards.
     */
    private double shortfall(Bucket bucket, long cost, long nowNanos) {
        boolean remoteUsageUnknown = !remoteUsageKnown(nowNanos);
        if (remoteUsageUnknown) {
            return bucket.available >= 0 ? 0 : -bucket.available;
        }
        return cost - bucket.available - slack;
    }

    /**
     * Refunds the quota units of a request that did not run.
     *
     * @param team the team that sent the request
     * @param cost quota units that were consumed
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
            // Starts empty, because other processes may have used the whole burst.
            bucket.available = 0;
            bucket.refilledNanos = nowNanos;
            buckets.put(team.id(), bucket);
        }
        double seconds = Math.max(0, nowNanos - bucket.refilledNanos) / NANOS_IN_SECOND;
        double share = (double) knownProcesses(nowNanos) / processes.liveCount(nowNanos);
        bucket.available =
                Math.min(team.burst(), bucket.available + team.ratePerSecond() * (1 + overrun) * share * seconds);
        bucket.available = Math.max(bucket.available, -MAX_DEBT * team.burst() - slack);
        bucket.refilledNanos = nowNanos;
        return bucket;
    }

    /** Returns the number of processes whose usage is known; each of the others is assumed to use an equal share. */
    private int knownProcesses(long nowNanos) {
        int reporting = activeAggregator(nowNanos)
                .map(aggregator -> aggregatorSums.get(aggregator).reportingProcesses)
                .orElse(1);
        return Math.max(1, Math.min(reporting, processes.liveCount(nowNanos)));
    }
}
