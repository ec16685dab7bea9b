package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.time.Timestamp;

/**
 * Sums the quota usage of all processes. Not thread-safe.
 *
 * <p>Of the usage before the first report of a process, only the part that no aggregator had received is counted, so that
 * the sums do not jump when a process starts to aggregate.
 */
public final class QuotaUsageSums {
    /** Milliseconds after which the report of a process expires; processes report several times a second. */
    private static final long REPORT_VALID_MILLIS = 1_000;

    /**
     * Milliseconds for which a process that does not report is remembered. Usage that it reports later is too old to
     * count.
     */
    private static final long PROCESS_VALID_MILLIS = 30_000;

    private final Map<TeamId, Long> totals = new HashMap<>();
    private final Map<ProcessId, ProcessUsage> usageByProcess = new HashMap<>();

    private static final class ProcessUsage {
        private final Map<TeamId, Long> reportedUnits = new HashMap<>();
        private final Map<TeamId, Long> includedUnits = new HashMap<>();
        private long reportedNanos;
        private boolean baselineUnknown;
    }

    /** Creates sums without any report. */
    public QuotaUsageSums() {}

    /**
     * Records the quota usage that a process has admitted since it started.
     *
     * @param process the reporting process
     * @param usages its usage by team, net of refunds
     * @param earlierUsages the part of its usage that another aggregator had received, by team; empty if it is unknown
     * @param nowNanos the monotonic time in nanoseconds
     * @return the units that were added to the sums, by team; negative for refunds
     */
    public List<TeamUsage> onReport(
            ProcessId process, List<TeamUsage> usages, Optional<List<TeamUsage>> earlierUsages, long nowNanos) {
        ProcessUsage processUsage = usageByProcess.get(process);
        if (processUsage == null || isForgotten(processUsage, nowNanos)) {
            processUsage = new ProcessUsage();
            processUsage.baselineUnknown = true;
            usageByProcess.put(process, processUsage);
        }
        if (processUsage.baselineUnknown) {
            processUsage.baselineUnknown = false;
            processUsage.reportedUnits.clear();
            for (TeamUsage earlier : earlierUsages.orElse(usages)) {
                processUsage.reportedUnits.put(earlier.team(), earlier.units());
            }
        }
        processUsage.reportedNanos = nowNanos;
        List<TeamUsage> added = new ArrayList<>();
        for (TeamUsage teamUsage : usages) {
            Long previousUnits = processUsage.reportedUnits.put(teamUsage.team(), teamUsage.units());
            long addedUnits = teamUsage.units() - (previousUnits == null ? 0 : previousUnits);
            totals.merge(teamUsage.team(), addedUnits, Long::sum);
            processUsage.includedUnits.merge(teamUsage.team(), addedUnits, Long::sum);
            if (addedUnits != 0) {
                added.add(new TeamUsage(teamUsage.team(), addedUnits));
            }
        }
        return added;
    }

    private static boolean isForgotten(ProcessUsage processUsage, long nowNanos) {
        return nowNanos - processUsage.reportedNanos > PROCESS_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    /** Counts of each process only what no aggregator has received before its next report. */
    void forgetReports() {
        usageByProcess.values().forEach(usage -> usage.baselineUnknown = true);
    }

    /**
     * Returns whether what a process reports can be compared with its last report.
     *
     * @param process the process
     */
    boolean knows(ProcessId process) {
        return usageByProcess.containsKey(process) && !usageByProcess.get(process).baselineUnknown;
    }

    /**
     * Removes processes that have ended; the usage that they admitted stays in the sums. A process that is no longer a member
     * may still admit requests while it stops or is cut off, so it is remembered for some time.
     *
     * @param live the processes that are still members
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void retain(Set<ProcessId> live, long nowNanos) {
        usageByProcess
                .entrySet()
                .removeIf(entry -> !live.contains(entry.getKey()) && isForgotten(entry.getValue(), nowNanos));
    }

    /**
     * Returns the usage of all processes except one, by team.
     *
     * @param process the process to exclude
     */
    public List<TeamUsage> sumExcluding(ProcessId process) {
        ProcessUsage excluded = usageByProcess.get(process);
        List<TeamUsage> sums = new ArrayList<>();
        totals.forEach((team, units) -> sums.add(
                new TeamUsage(team, units - (excluded == null ? 0 : excluded.includedUnits.getOrDefault(team, 0L)))));
        return sums;
    }

    /**
     * Returns the units that all processes except one have used, over all teams.
     *
     * @param process the process to exclude
     */
    public long totalExcluding(ProcessId process) {
        return sumExcluding(process).stream().mapToLong(TeamUsage::units).sum();
    }

    /**
     * Returns the number of processes that reported recently.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public int reportingProcesses(long nowNanos) {
        return (int) usageByProcess.values().stream()
                .filter(processUsage ->
                        nowNanos - processUsage.reportedNanos <= REPORT_VALID_MILLIS * Timestamp.NANOS_PER_MILLI)
                .count();
    }
}
