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

/** Counts the requests of this process by window of true time, and hasConfirmed which counts others have; belongs to one thread. */
@Decision(
        name = "usage-book",
        summary =
                "Counts of a window are told to two processes until they have confirmed them, and written to the store"
                        + " by this one if neither has once the window is over.")
public final class UsageBook {
    private final long windowMillis;
    private final TreeMap<Long, Map<TeamId, Long>> windows = new TreeMap<>();
    private final Map<ProcessId, Map<Long, Long>> confirmed = new HashMap<>();

    /**
     * Creates an empty book.
     *
     * @param windowMillis length of a window in milliseconds
     */
    public UsageBook(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /** Returns the length of a window in milliseconds. */
    public long windowMillis() {
        return windowMillis;
    }

    /**
     * Returns the number of the window that a time lies in.
     *
     * @param trueMillis the time in milliseconds since 1970
     */
    public long windowOf(long trueMillis) {
        return Math.floorDiv(trueMillis, windowMillis);
    }

    /**
     * Counts a request that began to run.
     *
     * @param team its team
     * @param trueMillis when it began, in milliseconds since 1970
     */
    public void onBegan(TeamId team, long trueMillis) {
        windows.computeIfAbsent(windowOf(trueMillis), _key -> new TreeMap<>()).merge(team, 1L, Long::sum);
    }

    /**
     * Takes in which counts a process has.
     *
     * @param process the process
     * @param totals the requests that it hasConfirmed of, by window
     */
    public void onConfirmed(ProcessId process, List<WindowTotal> totals) {
        Map<Long, Long> confirmedTotals = confirmed.computeIfAbsent(process, _key -> new HashMap<>());
        totals.forEach(total -> confirmedTotals.merge(total.window(), total.requests(), Math::max));
    }

    /**
     * Returns the counts that a process does not have.
     *
     * @param process the process
     */
    public List<WindowCounts> unconfirmed(ProcessId process) {
        List<WindowCounts> missing = new ArrayList<>();
        for (Long window : windows.keySet()) {
            WindowCounts own = counts(window);
            if (!hasConfirmed(process, own)) {
                missing.add(own);
            }
        }
        return missing;
    }

    /**
     * Returns the counts of windows that are over and that no other process has.
     *
     * @param before the first window that goes on
     */
    public List<WindowCounts> unknownBefore(long before) {
        List<WindowCounts> unknown = new ArrayList<>();
        for (Long window : windows.headMap(before).keySet()) {
            WindowCounts own = counts(window);
            if (confirmed.keySet().stream().noneMatch(process -> hasConfirmed(process, own))) {
                unknown.add(own);
            }
        }
        return unknown;
    }

    private boolean hasConfirmed(ProcessId process, WindowCounts own) {
        return confirmed.getOrDefault(process, Map.of()).getOrDefault(own.window(), 0L) >= own.total();
    }

    private WindowCounts counts(long window) {
        return new WindowCounts(window, windows.get(window));
    }

    /**
     * Forgets windows whose reports are no longer due.
     *
     * @param before the first window that is kept
     */
    public void forgetBefore(long before) {
        windows.headMap(before).clear();
        confirmed.values().forEach(confirmedTotals -> confirmedTotals.keySet().removeIf(window -> window < before));
    }
}
