package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.TeamLevel;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.time.Timestamp;

/** Enforces the quotas of teams across all processes with token buckets. Not thread-safe. */
@Decision(
        name = "team-quota",
        summary = "A team's requests are admitted until the usage of all processes exhausts its "
                + "quota; processes whose usage is unknown keep an equal share of what is left, "
                + "and a process that starts takes over the level of the others.")
public final class QuotaLimiter {
    private static final double MILLIS_IN_SECOND = 1e3;

    /** Milliseconds after which the sums of an aggregator expire; it sends them several times a second. */
    private static final long SUMS_VALID_MILLIS = 700;

    /** Minimum retry delay returned to a caller, in milliseconds; the maximum follows. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    /** Maximum retry delay while the usage of most processes is unknown; callers come back to other processes. */
    private static final long MAX_UNKNOWN_RETRY_AFTER_MILLIS = 500;

    /**
     * Fraction of the slack that is used; the rest covers usage that other processes have admitted but not yet
     * reported.
     */
    private static final double USED_SLACK_SHARE = 0.3;

    /** Fraction of the overrun that is used; callers are owed the rate only. */
    private static final double USED_OVERRUN_SHARE = 0.1;

    /** Share of the processes with known usage below which each process keeps to its part of what is left. */
    private static final double MIN_EXACT_SHARE = 0.5;

    /** Milliseconds after the start within which most processes usually report to an aggregator. */
    private static final long STARTING_MILLIS = 1_500;

    /** Milliseconds after the start until which all processes that have started together decide on reserved requests. */
    private static final long RESERVED_MILLIS = 2_500;

    /** Ratio of the reserved units that are known to those that the processes have reserved but not yet reported. */
    private static final double KNOWN_RESERVED_RATIO = 0.85;

    /** Milliseconds for which a request waits at a starting process for the usage of the others. */
    private static final long MAX_WAIT_MILLIS = 1_200;

    /** Minimum ratio of the processes that report to the aggregator in use to those that report to another one. */
    private static final double MIN_REPORTING_RATIO = 0.9;

    /** Milliseconds for which a report may not have reached the other processes; the reports of a lost one expire later. */
    private static final long REPORT_DOUBTED_MILLIS = 1_000;

    /** Milliseconds after which usage that no aggregator has received no longer matters. */
    private static final long UNREPORTED_VALID_MILLIS = 30_000;

    /** Fraction of a burst below which a level is worth a reading. */
    private static final double READING_LEVEL_SHARE = 0.25;

    private static final int MAX_READINGS = 4;

    private final double slack;
    private final double overrun;
    private final Random random;
    private final Map<TeamId, QuotaBucket> buckets = new HashMap<>();
    private final Map<TeamId, RelayTeam> limitedTeams = new HashMap<>();
    private final Map<TeamId, Long> localUsage = new HashMap<>();
    private final Map<TeamId, Long> reservedUnits = new HashMap<>();
    private final Map<TeamId, Long> remoteUsage = new HashMap<>();
    private final Map<ProcessId, AggregatorSums> aggregatorSums = new HashMap<>();
    private final ProcessCount processes;
    private Map<TeamId, Long> reportedUsage = Map.of();
    private Map<TeamId, Long> acknowledgedUsage = Map.of();

    /** Usage that the other processes know of even if this process has just been cut off from them. */
    private Map<TeamId, Long> distributedUsage = Map.of();

    private final Deque<Report> reports = new ArrayDeque<>();
    private List<ProcessId> aggregators = List.of();
    private Optional<ProcessId> activeAggregator = Optional.empty();
    private double allowedPerSecond = Double.POSITIVE_INFINITY;
    private OptionalLong startNanos = OptionalLong.empty();
    private OptionalLong acknowledgedNanos = OptionalLong.empty();
    private boolean levelAdopted;
    private boolean reservationsShared;

    private record Report(Map<TeamId, Long> usage, long sentNanos) {}

    /** The sums that an aggregator sent last. */
    private static final class AggregatorSums {
        /** Offset added to the aggregator's sum of each team, because aggregators start counting at different times. */
        private final Map<TeamId, Long> offsets = new HashMap<>();

        private final Map<TeamId, Long> sums = new HashMap<>();
        private int reportingProcesses;
        private long receivedNanos;
        private boolean used;
    }

    /**
     * Creates a limiter without usage.
     *
     * @param slack units by which a quota may be exceeded over all processes
     * @param overrun fraction by which a rate may be exceeded
     * @param processes count of the processes that share the quotas
     * @param random source of randomness, seeded differently in each process
     */
    public QuotaLimiter(double slack, double overrun, ProcessCount processes, Random random) {
        this.slack = slack * USED_SLACK_SHARE;
        this.overrun = overrun * USED_OVERRUN_SHARE;
        this.processes = processes;
        this.random = random;
    }

    /**
     * Registers the teams of a configuration, so that their buckets start to fill.
     *
     * @param teams all teams of the configuration
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTeams(List<RelayTeam> teams, long nowNanos) {
        if (startNanos.isEmpty()) {
            startNanos = OptionalLong.of(nowNanos);
        }
        teams.stream().filter(QuotaLimiter::isLimited).forEach(team -> refill(team, nowNanos));
        boolean bounded = !teams.isEmpty() && teams.stream().allMatch(t -> t.countsTokens() && isLimited(t));
        allowedPerSecond =
                bounded ? teams.stream().mapToDouble(RelayTeam::ratePerSecond).sum() : Double.POSITIVE_INFINITY;
    }

    private static boolean isLimited(RelayTeam team) {
        return team.ratePerSecond() > 0;
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
     * @param levels levels at the aggregator, which include the usage
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRemoteUsage(
            ProcessId aggregator, List<TeamUsage> usages, int reportingProcesses, QuotaLevels levels, long nowNanos) {
        if (!aggregators.contains(aggregator)) {
            return;
        }
        refillAll(nowNanos);
        boolean wasKnown = selectActive(nowNanos).isPresent();
        boolean firstSums = !aggregatorSums.containsKey(aggregator);
        AggregatorSums latest = aggregatorSums.computeIfAbsent(aggregator, _key -> new AggregatorSums());
        latest.reportingProcesses = reportingProcesses;
        latest.receivedNanos = nowNanos;
        usages.forEach(usage -> latest.sums.put(usage.team(), usage.units()));
        acknowledgedUsage = reportedUsage;
        acknowledgedNanos = OptionalLong.of(nowNanos);
        // An aggregator that has started, too, has counted nothing but what this process has to take into account.
        boolean startsTogether = activeAggregator.isEmpty()
                && !isSettled(nowNanos)
                && !levels.levels().isEmpty()
                && !levels.settled();
        if (startsTogether && !reservationsShared) {
            reservationsShared = true;
            reservedUnits.forEach(this::charge);
        }
        if (firstSums && !startsTogether) {
            align(latest);
        }
        activeAggregator = selectActive(nowNanos);
        if (activeAggregator.equals(Optional.of(aggregator))) {
            boolean adopts = !(wasKnown && latest.used) && levels.settled();
            latest.used = true;
            latest.sums.forEach((team, units) -> chargeRemote(team, units + latest.offsets.getOrDefault(team, 0L)));
            buckets.values().forEach(QuotaBucket::release);
            if (adopts) {
                levels.levels().forEach(this::adopt);
                levelAdopted = true;
            }
            aggregatorSums.values().stream().filter(sums -> sums != latest).forEach(this::align);
        }
        refillAll(nowNanos);
    }

    private void adopt(TeamLevel level) {
        QuotaBucket bucket = buckets.get(level.team());
        if (bucket != null) {
            bucket.replace(level.available() - unitsSince(acknowledgedUsage, level.team()), level.setAside());
        }
    }

    private void chargeRemote(TeamId team, long totalUnits) {
        long previousUnits = remoteUsage.getOrDefault(team, 0L);
        remoteUsage.put(team, totalUnits);
        charge(team, totalUnits - previousUnits);
    }

    private void charge(TeamId team, long units) {
        QuotaBucket bucket = buckets.get(team);
        if (bucket != null) {
            bucket.charge(units);
        }
    }

    /** Makes the last sums of an aggregator equal to the known usage, so that only what it counts from now on is added. */
    private void align(AggregatorSums latest) {
        remoteUsage.forEach((team, units) -> latest.offsets.put(team, units - latest.sums.getOrDefault(team, 0L)));
        latest.sums.forEach((team, units) -> latest.offsets.put(team, remoteUsage.getOrDefault(team, 0L) - units));
    }

    /**
     * Selects the aggregator whose sums are used. It is replaced only if its sums have expired or clearly fewer processes
     * report to it, because usage may be charged twice when the sums of another one are used.
     */
    private Optional<ProcessId> selectActive(long nowNanos) {
        Optional<ProcessId> best = aggregators.stream()
                .filter(id -> isValid(id, nowNanos))
                .max(Comparator.comparingInt((ProcessId id) -> aggregatorSums.get(id).reportingProcesses));
        boolean keep = activeAggregator
                .filter(id -> isValid(id, nowNanos)
                        && aggregatorSums.get(id).reportingProcesses
                                >= MIN_REPORTING_RATIO * aggregatorSums.get(best.orElse(id)).reportingProcesses)
                .isPresent();
        return keep ? activeAggregator : best;
    }

    private boolean isValid(ProcessId aggregator, long nowNanos) {
        AggregatorSums sums = aggregatorSums.get(aggregator);
        return sums != null && nowNanos - sums.receivedNanos <= SUMS_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    private void refillAll(long nowNanos) {
        double share = knownShare(nowNanos);
        limitedTeams.values().forEach(team -> refill(team, share, nowNanos));
    }

    /**
     * Returns the levels of all quotas, including all usage that was reported to this process.
     *
     * @param self this process, which is an aggregator and has recorded its own sums
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaLevels levels(ProcessId self, long nowNanos) {
        refillAll(nowNanos);
        AggregatorSums own = aggregatorSums.getOrDefault(self, new AggregatorSums());
        List<TeamLevel> levels = new ArrayList<>();
        buckets.forEach((team, bucket) -> {
            long remote = remoteUsage.getOrDefault(team, 0L);
            long uncharged =
                    own.sums.containsKey(team) ? own.sums.get(team) + own.offsets.getOrDefault(team, 0L) - remote : 0;
            levels.add(new TeamLevel(team, Math.round(bucket.total() - uncharged), Math.round(bucket.setAside())));
        });
        return new QuotaLevels(isSettled(nowNanos), levels);
    }

    /**
     * Returns whether this process knows the levels: it has taken them over, or what was used before it started no longer
     * matters.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean isSettled(long nowNanos) {
        return levelAdopted || !isStarting(nowNanos);
    }

    /** Returns the usage that this process has admitted since it started, by team. */
    public List<TeamUsage> localUsage() {
        return usages(localUsage);
    }

    /**
     * Returns the usage for a report to the aggregators, as {@link #localUsage} does, and records that it is reported.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<TeamUsage> reportUsage(long nowNanos) {
        dropOldReservations(nowNanos);
        Map<TeamId, Long> usage = new HashMap<>(localUsage);
        if (reservationsShared) {
            reservedUnits.forEach((team, units) -> usage.merge(team, units, Long::sum));
        }
        reportedUsage = Map.copyOf(usage);
        reports.addLast(new Report(reportedUsage, nowNanos));
        while (reports.size() > 1
                && nowNanos - reports.getFirst().sentNanos() > REPORT_DOUBTED_MILLIS * Timestamp.NANOS_PER_MILLI) {
            distributedUsage = reports.removeFirst().usage();
        }
        return usages(reportedUsage);
    }

    /**
     * Returns the part of the usage that an aggregator had received earlier, by team; a new aggregator counts the rest.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<TeamUsage> acknowledgedUsage(long nowNanos) {
        boolean outdated = acknowledgedNanos.isPresent()
                && nowNanos - acknowledgedNanos.getAsLong() > UNREPORTED_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
        return usages(outdated ? localUsage : acknowledgedUsage);
    }

    private static List<TeamUsage> usages(Map<TeamId, Long> units) {
        List<TeamUsage> usages = new ArrayList<>();
        units.forEach((team, used) -> usages.add(new TeamUsage(team, used)));
        return usages;
    }

    /**
     * Returns whether this process needs the levels of the aggregators: it has started, or it has not received sums of each
     * of them recently.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean needsLevels(long nowNanos) {
        return !isSettled(nowNanos) || !aggregators.stream().allMatch(aggregator -> isValid(aggregator, nowNanos));
    }

    /**
     * Returns whether the usage of the other processes is up to date.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean remoteUsageKnown(long nowNanos) {
        return processes.quotaCount(nowNanos) <= 1 || selectActive(nowNanos).isPresent();
    }

    /**
     * Returns what this process knows of the usage of the other processes.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaKnowledge knowledge(long nowNanos) {
        return new QuotaKnowledge(remoteUsageKnown(nowNanos), knownProcesses(nowNanos), processes.quotaCount(nowNanos));
    }

    /**
     * Returns the levels of the teams that have used most of their burst, as this process sees them.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<QuotaReading> readings(long nowNanos) {
        refillAll(nowNanos);
        return limitedTeams.values().stream()
                .filter(team -> buckets.get(team.id()).available() < team.burst() * READING_LEVEL_SHARE)
                .map(team -> new QuotaReading(
                        team.id(),
                        Math.round(buckets.get(team.id()).available()),
                        localUsage.getOrDefault(team.id(), 0L),
                        remoteUsage.getOrDefault(team.id(), 0L)))
                .sorted(Comparator.comparingLong(QuotaReading::available))
                .limit(MAX_READINGS)
                .toList();
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
     * Returns whether the decision on a request should wait a moment, because this process has just started and will soon
     * know the usage of the others. The request's units should be reserved meanwhile.
     *
     * @param team the team that sent the request
     * @param arrivedNanos when the request arrived, on the monotonic clock in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean awaitsUsage(RelayTeam team, long arrivedNanos, long nowNanos) {
        return isLimited(team)
                && !isSettled(nowNanos)
                && processes.quotaCount(nowNanos) > 1
                && nowNanos - arrivedNanos < MAX_WAIT_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    private boolean isStarting(long nowNanos) {
        return startNanos.isEmpty() || nowNanos - startNanos.getAsLong() < STARTING_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Reserves the units of a request that waits. If all processes have started together, they tell each other what is
     * reserved, so that none of them decides before it knows what is asked of all.
     *
     * @param team the team that sent the request
     * @param cost quota units that the request consumes
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void reserve(RelayTeam team, long cost, long nowNanos) {
        refill(team, nowNanos);
        changeReserved(team.id(), cost);
    }

    private void changeReserved(TeamId team, long units) {
        reservedUnits.merge(team, units, Long::sum);
        if (reservationsShared) {
            charge(team, units);
        }
    }

    /**
     * Decides on a request whose units are reserved. If processes that have started together reserved more than is left,
     * requests are admitted at random, so that all of them together admit what is left.
     *
     * @param team the team that sent the request
     * @param cost quota units that the request consumes
     * @param nowNanos the monotonic time in nanoseconds
     * @return empty if the request is admitted, otherwise the delay in milliseconds after which the quota allows it
     */
    public OptionalLong decideReserved(RelayTeam team, long cost, long nowNanos) {
        QuotaBucket bucket = refill(team, nowNanos);
        if (levelAdopted) {
            changeReserved(team.id(), -cost);
            return tryAcquire(team, cost, nowNanos);
        }
        double asked = bucket.charged() + (reservationsShared ? 0 : reservedUnits.getOrDefault(team.id(), 0L));
        double left = bucket.available() + bucket.charged() + slack * knownShare(nowNanos);
        double knownRatio = reservationsShared ? KNOWN_RESERVED_RATIO : 1;
        if (random.nextDouble() * Math.max((double) cost, asked) <= left * knownRatio) {
            changeReserved(team.id(), -cost);
            bucket.charge(cost);
            localUsage.merge(team.id(), cost, Long::sum);
            return OptionalLong.empty();
        }
        // The units stay reserved until all processes have decided, because the others still compare them with what is
        // left.
        return OptionalLong.of(MAX_UNKNOWN_RETRY_AFTER_MILLIS);
    }

    private void dropOldReservations(long nowNanos) {
        boolean decided = startNanos.isPresent()
                && nowNanos - startNanos.getAsLong() > RESERVED_MILLIS * Timestamp.NANOS_PER_MILLI;
        if (decided) {
            // The teams are kept, because an aggregator would not notice that a team is missing from a report.
            Map.copyOf(reservedUnits).forEach((team, units) -> changeReserved(team, -units));
        }
    }

    private static long retryAfter(RelayTeam team, double shortfall, long maxMillis) {
        long waitMillis = Math.round(shortfall / Math.max(team.ratePerSecond(), 1e-3) * MILLIS_IN_SECOND);
        return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(maxMillis, waitMillis));
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
        if (!isLimited(team)) {
            localUsage.merge(team.id(), cost, Long::sum);
            return OptionalLong.empty();
        }
        QuotaBucket bucket = refill(team, nowNanos);
        double share = knownShare(nowNanos);
        double allowance = bucket.available() + slack * share;
        boolean exact = share >= MIN_EXACT_SHARE;
        // The part of few processes may never hold a request, so they admit as many at random as use it up on average.
        double shortfall =
                exact ? cost - allowance : cost * (1 - random.nextDouble()) - allowance / knownProcesses(nowNanos);
        if (shortfall > 0) {
            return OptionalLong.of(
                    retryAfter(team, shortfall, exact ? MAX_RETRY_AFTER_MILLIS : MAX_UNKNOWN_RETRY_AFTER_MILLIS));
        }
        bucket.charge(cost);
        localUsage.merge(team.id(), cost, Long::sum);
        return OptionalLong.empty();
    }

    /**
     * Refunds the quota units of a request that did not run.
     *
     * @param team the team that sent the request
     * @param cost quota units that were consumed
     */
    public void refund(RelayTeam team, long cost) {
        QuotaBucket bucket = buckets.get(team.id());
        if (bucket != null) {
            bucket.charge(-cost);
        }
        localUsage.merge(team.id(), -cost, Long::sum);
    }

    private QuotaBucket refill(RelayTeam team, long nowNanos) {
        limitedTeams.put(team.id(), team);
        return refill(team, knownShare(nowNanos), nowNanos);
    }

    private QuotaBucket refill(RelayTeam team, double share, long nowNanos) {
        QuotaBucket bucket = buckets.computeIfAbsent(team.id(), _key -> new QuotaBucket(share, nowNanos));
        bucket.advance(
                team.ratePerSecond() * (1 + overrun),
                team.burst(),
                share,
                1.0 / processes.quotaCount(nowNanos),
                unitsSince(distributedUsage, team.id()),
                nowNanos);
        return bucket;
    }

    private long unitsSince(Map<TeamId, Long> earlierUsage, TeamId team) {
        long reserved = reservationsShared ? reservedUnits.getOrDefault(team, 0L) : 0;
        return localUsage.getOrDefault(team, 0L) + reserved - earlierUsage.getOrDefault(team, 0L);
    }

    /** Returns the fraction of the processes whose usage is known. */
    private double knownShare(long nowNanos) {
        return (double) knownProcesses(nowNanos) / processes.quotaCount(nowNanos);
    }

    /** Returns the number of processes whose usage is known; each of the others is assumed to use an equal share. */
    private int knownProcesses(long nowNanos) {
        int reporting = selectActive(nowNanos)
                .map(aggregator -> aggregatorSums.get(aggregator).reportingProcesses)
                .orElse(1);
        return Math.max(1, Math.min(reporting, processes.quotaCount(nowNanos)));
    }
}
