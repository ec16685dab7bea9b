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
 * Adds up what all processes let teams use, for those that ask; it belongs to one thread.
 *
 * <p>What a process used before it was heard first is left out, so that sums do not jump when a process begins to add up.
 */
public final class UseSums {
    /** Milliseconds after which a process counts as not heard; processes tell a few times a second. */
    private static final long HEARD_MILLIS = 1_000;

    private final Map<TeamId, Long> all = new HashMap<>();
    private final Map<ProcessId, Told> told = new HashMap<>();

    private static final class Told {
        private final Map<TeamId, Long> used = new HashMap<>();
        private final Map<TeamId, Long> counted = new HashMap<>();
        private long atNanos;
    }

    /** Creates sums to which nobody has told anything. */
    public UseSums() {}

    /**
     * Takes in what a process let teams use since it started.
     *
     * @param process the process
     * @param uses its uses, less what it gave back
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTold(ProcessId process, List<TeamUse> uses, long nowNanos) {
        boolean first = !told.containsKey(process);
        Told of = told.computeIfAbsent(process, _key -> new Told());
        of.atNanos = nowNanos;
        for (TeamUse use : uses) {
            Long before = of.used.put(use.team(), use.units());
            long more = first ? 0 : use.units() - (before == null ? 0 : before);
            all.merge(use.team(), more, Long::sum);
            of.counted.merge(use.team(), more, Long::sum);
        }
    }

    /**
     * Forgets processes that are gone; what they let teams use stays in the sums.
     *
     * @param live the live processes
     */
    public void retain(Set<ProcessId> live) {
        told.keySet().retainAll(live);
    }

    /**
     * Returns what all processes but one let teams use.
     *
     * @param process the one that is left out
     */
    public List<TeamUse> without(ProcessId process) {
        Told own = told.get(process);
        List<TeamUse> sums = new ArrayList<>();
        all.forEach((team, units) ->
                sums.add(new TeamUse(team, units - (own == null ? 0 : own.counted.getOrDefault(team, 0L)))));
        return sums;
    }

    /**
     * Returns how many processes told their use lately.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public int heard(long nowNanos) {
        return (int) told.values().stream()
                .filter(of -> nowNanos - of.atNanos <= HEARD_MILLIS * Moment.NANOS_PER_MILLI)
                .count();
    }
}
