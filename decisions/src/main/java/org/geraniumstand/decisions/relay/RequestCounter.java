package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;

/**
 * Counts the requests of this process per time window and tracks which processes have confirmed the counts. Not
 * thread-safe.
 */
@Decision(
        name = "usage-book",
        summary = "Counts of a window are sent to two processes until they confirm them; this process "
                + "writes them to the store itself if neither has confirmed them when the window ends.")
public final class RequestCounter {
    private final long windowMillis;
    private final TreeMap<Long, Map<TeamId, Long>> windows = new TreeMap<>();
    private final Map<ProcessId, Map<Long, Long>> confirmed = new HashMap<>();

    /**
     * Creates a counter without requests.
     *
     * @param windowMillis length of a window in milliseconds
     */
    public RequestCounter(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /** Returns the length of a window in milliseconds. */
    public long windowMillis() {
        return windowMillis;
    }

    /**
     * Returns the number of the window that contains a time.
     *
     * @param epochMillis the time in milliseconds since 1970
     */
    public long windowOf(long epochMillis) {
        return Math.floorDiv(epochMillis, windowMillis);
    }

    /**
     * Counts a request that started to run.
     *
     * @param team the team that sent the request
     * @param epochMillis when the request started, in milliseconds since 1970
     */
    public void onStarted(TeamId team, long epochMillis) {
        windows.computeIfAbsent(windowOf(epochMillis), _key -> new TreeMap<>()).merge(team, 1L, Long::sum);
    }

    /**
     * Records the counts that a process has confirmed.
     *
     * @param process the process that confirmed them
     * @param totals the requests that it has received, by window
     */
    public void onConfirmed(ProcessId process, List<WindowTotal> totals) {
        Map<Long, Long> confirmedTotals = confirmed.computeIfAbsent(process, _key -> new HashMap<>());
        totals.forEach(total -> confirmedTotals.merge(total.window(), total.requests(), Math::max));
    }

    /**
     * Returns the counts that a process has not confirmed.
     *
     * @param process the process whose confirmations are checked
     */
    public List<WindowCounts> unconfirmed(ProcessId process) {
        List<WindowCounts> unconfirmedCounts = new ArrayList<>();
        for (Long window : windows.keySet()) {
            WindowCounts windowCounts = counts(window);
            if (!hasConfirmed(process, windowCounts)) {
                unconfirmedCounts.add(windowCounts);
            }
        }
        return unconfirmedCounts;
    }

    /**
     * Returns the counts of ended windows that no other process has confirmed.
     *
     * @param before the first window that has not ended
     */
    public List<WindowCounts> unconfirmedBefore(long before) {
        List<WindowCounts> unconfirmedCounts = new ArrayList<>();
        for (Long window : windows.headMap(before).keySet()) {
            WindowCounts windowCounts = counts(window);
            if (confirmed.keySet().stream().noneMatch(process -> hasConfirmed(process, windowCounts))) {
                unconfirmedCounts.add(windowCounts);
            }
        }
        return unconfirmedCounts;
    }

    private boolean hasConfirmed(ProcessId process, WindowCounts windowCounts) {
        return confirmed.getOrDefault(process, Map.of()).getOrDefault(windowCounts.window(), 0L)
                >= windowCounts.total();
    }

    private WindowCounts counts(long window) {
        return new WindowCounts(window, windows.get(window));
    }

    /**
     * Discards windows whose reports are no longer due.
     *
     * @param before the first window to retain
     */
    public void discardBefore(long before) {
        windows.headMap(before).clear();
        confirmed.values().forEach(confirmedTotals -> confirmedTotals.keySet().removeIf(window -> window < before));
    }
}
