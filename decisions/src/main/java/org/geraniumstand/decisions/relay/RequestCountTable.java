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

/** Merges the request counts of many processes by window. Not thread-safe. */
@Decision(
        name = "usage-table",
        summary = "The counts of a process only grow, so the higher of two reported counts "
                + "applies, and a request that is reported over two paths counts once.")
public final class RequestCountTable {
    private final TreeMap<Long, Map<ProcessId, Map<TeamId, Long>>> windows = new TreeMap<>();

    /** Creates an empty table. */
    public RequestCountTable() {}

    /**
     * Merges the counts that a process reports.
     *
     * @param process the process that the counts belong to
     * @param reported the counts of the process, by window
     * @return the merged totals of the process, by window
     */
    public List<WindowTotal> onReport(ProcessId process, List<WindowCounts> reported) {
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
        return window(window).values().stream()
                .mapToLong(RequestCountTable::total)
                .sum();
    }

    private static long total(Map<TeamId, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the windows that have any counts. */
    public List<Long> windows() {
        return List.copyOf(windows.keySet());
    }

    /**
     * Discards windows whose reports are no longer due.
     *
     * @param before the first window to retain
     */
    public void discardBefore(long before) {
        windows.headMap(before).clear();
    }
}
