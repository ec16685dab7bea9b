package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;

/** Counts of many processes by window; belongs to one thread. */
@Decision(
        name = "usage-table",
        summary =
                "Counts of a process only grow, so of two that were told the higher ones hold, and a request that is told"
                        + " on two ways counts once.")
public final class UsageTable {
    private final TreeMap<Long, Map<ProcessId, Map<TeamId, Long>>> windows = new TreeMap<>();

    /** Creates an empty table. */
    public UsageTable() {}

    /**
     * Takes in counts of a process.
     *
     * @param process the process
     * @param reported its counts
     * @return what is merged of it by now
     */
    public List<WindowTotal> onTold(ProcessId process, List<WindowCounts> reported) {
        return reported.stream().map(counts -> merge(process, counts)).toList();
    }

    private WindowTotal merge(ProcessId process, WindowCounts reported) {
        Map<TeamId, Long> merged = windows.computeIfAbsent(reported.window(), _key -> new HashMap<>())
                .computeIfAbsent(process, _key -> new TreeMap<>());
        reported.counts().forEach((team, count) -> merged.merge(team, count, Math::max));
        return new WindowTotal(reported.window(), total(merged));
    }

    /**
     * Returns the counts of a window by process.
     *
     * @param window number of the window
     */
    public Map<ProcessId, Map<TeamId, Long>> window(long window) {
        return windows.getOrDefault(window, Map.of());
    }

    /**
     * Returns the requests of all processes in a window, by team.
     *
     * @param window number of the window
     */
    public Map<TeamId, Long> sums(long window) {
        Map<TeamId, Long> sums = new TreeMap<>();
        window(window).values().forEach(counts -> counts.forEach((team, count) -> sums.merge(team, count, Long::sum)));
        return sums;
    }

    /**
     * Returns the requests of all processes and teams in a window.
     *
     * @param window number of the window
     */
    public long total(long window) {
        return window(window).values().stream().mapToLong(UsageTable::total).sum();
    }

    private static long total(Map<TeamId, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the windows of which anything is merged. */
    public List<Long> windows() {
        return List.copyOf(windows.keySet());
    }

    /**
     * Forgets windows whose reports are no longer due.
     *
     * @param before the first window that is kept
     */
    public void forgetBefore(long before) {
        windows.headMap(before).clear();
    }
}
