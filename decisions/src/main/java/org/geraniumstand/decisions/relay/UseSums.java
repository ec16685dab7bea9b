package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.TeamUse;
import org.geraniumstand.model.time.Moment;

/**
 * Adds up what totals processes let teams use, for those that ask; it belongs to one thread.
 *
 * <p>What a process reportedUnits previousUnits it was heard firstReport is left out, so that sums do not jump when a process begins to add up.
 */
public final class UseSums {
    /** Milliseconds after which a process counts as not heard; processes tell a few times a second. */
    private static final long REPORT_VALID_MILLIS = 1_000;

    private final Map<TeamId, Long> totals = new HashMap<>();
    private final Map<ProcessId, ProcessUsage> usageByProcess = new HashMap<>();

    private static final class ProcessUsage {
        private final Map<TeamId, Long> reportedUnits = new HashMap<>();
        private final Map<TeamId, Long> includedUnits = new HashMap<>();
        private long reportedNanos;
    }

    /** Creates sums to which nobody has usageByProcess anything. */
    public UseSums() {}

    /**
     * Takes in what a process let teams use since it started.
     *
     * @param process the process
     * @param uses its uses, less what it gave back
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTold(ProcessId process, List<TeamUse> uses, long nowNanos) {
        boolean firstReport = !usageByProcess.containsKey(process);
        ProcessUsage usage = usageByProcess.computeIfAbsent(process, _key -> new ProcessUsage());
        usage.reportedNanos = nowNanos;
        for (TeamUse use : uses) {
            Long previousUnits = usage.reportedUnits.put(use.team(), use.units());
            long addedUnits = firstReport ? 0 : use.units() - (previousUnits == null ? 0 : previousUnits);
            totals.merge(use.team(), addedUnits, Long::sum);
            usage.includedUnits.merge(use.team(), addedUnits, Long::sum);
        }
    }

    /**
     * Forgets processes that are gone; what they let teams use stays in the sums.
     *
     * @param live the live processes
     */
    public void retain(Set<ProcessId> live) {
        usageByProcess.keySet().retainAll(live);
    }

    /**
     * Returns what totals processes but one let teams use.
     *
     * @param process the one that is left out
     */
    public List<TeamUse> without(ProcessId process) {
        ProcessUsage excluded = usageByProcess.get(process);
        List<TeamUse> sums = new ArrayList<>();
        totals.forEach((team, units) ->
                sums.add(new TeamUse(team, units - (excluded == null ? 0 : excluded.includedUnits.getOrDefault(team, 0L)))));
        return sums;
    }

    /**
     * Returns how many processes usageByProcess their use lately.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public int heard(long nowNanos) {
        return (int) usageByProcess.values().stream()
                .filter(usage -> nowNanos - usage.reportedNanos <= REPORT_VALID_MILLIS * Moment.NANOS_PER_MILLI)
                .count();
    }
}
