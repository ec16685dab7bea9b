package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.TeamUsage;
import org.geraniumstand.model.time.Timestamp;

/**
 * Sums the quota usage of all processes. Not thread-safe.
 *
 * <p>Usage before the first report of a process is excluded, so that the sums do not jump when a process starts to
 * aggregate.
 */
public final class QuotaUsageSums {
    /** Milliseconds after which the report of a process expires; processes report several times a second. */
    private static final long REPORT_VALID_MILLIS = 1_000;

    private final Map<TeamId, Long> totals = new HashMap<>();
    private final Map<ProcessId, ProcessUsage> usageByProcess = new HashMap<>();

    private static final class ProcessUsage {
        private final Map<TeamId, Long> reportedUnits = new HashMap<>();
        private final Map<TeamId, Long> includedUnits = new HashMap<>();
        private long reportedNanos;
    }

    /** Creates sums without any report. */
    public QuotaUsageSums() {}

    /**
     * Records the quota usage that a process has admitted since it started.
     *
     * @param process the reporting process
     * @param usages its usage by team, net of refunds
     * @param nowNanos the monotonic time in nanoseconds
     * @return the units that this report left out of the sums
     */
    public long onReport(ProcessId process, List<TeamUsage> usages, long nowNanos) {
        boolean firstReport = !usageByProcess.containsKey(process);
        ProcessUsage processUsage = usageByProcess.computeIfAbsent(process, _key -> new ProcessUsage());
        processUsage.reportedNanos = nowNanos;
        long excludedUnits = 0;
        for (TeamUsage teamUsage : usages) {
            Long previousUnits = processUsage.reportedUnits.put(teamUsage.team(), teamUsage.units());
            long addedUnits = firstReport ? 0 : teamUsage.units() - (previousUnits == null ? 0 : previousUnits);
            totals.merge(teamUsage.team(), addedUnits, Long::sum);
            processUsage.includedUnits.merge(teamUsage.team(), addedUnits, Long::sum);
            excludedUnits += firstReport ? teamUsage.units() : 0;
        }
        return excludedUnits;
    }

    /**
     * Removes processes that have ended; the usage that they admitted stays in the sums.
     *
     * @param live the processes that are still members
     */
    public void retain(Set<ProcessId> live) {
        usageByProcess.keySet().retainAll(live);
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
