package org.geraniumstand.support.log;

import java.util.HashMap;
import java.util.Map;

/** Bounds how many lines an event may write a second, and counts those that were left out; belongs to one thread. */
final class LineBudget {
    /** Lines of an event a second; a process that serves 100 requests a second writes about as many of each event. */
    static final int LINES_PER_SECOND = 200;

    private static final long MILLIS_IN_SECOND = 1_000;

    private final Map<String, Integer> written = new HashMap<>();
    private final Map<String, Integer> leftOut = new HashMap<>();
    private long second;

    /**
     * Counts a line.
     *
     * @param event name of its event
     * @param atMillis the wall clock, in milliseconds
     * @return whether it may be written
     */
    boolean allows(String event, long atMillis) {
        long now = Math.floorDiv(atMillis, MILLIS_IN_SECOND);
        if (now != second) {
            second = now;
            written.clear();
        }
        if (written.merge(event, 1, Integer::sum) <= LINES_PER_SECOND) {
            return true;
        }
        leftOut.merge(event, 1, Integer::sum);
        return false;
    }

    /** Returns how many lines of which events were left out since the last call. */
    Map<String, Integer> takeLeftOut() {
        Map<String, Integer> taken = Map.copyOf(leftOut);
        leftOut.clear();
        return taken;
    }
}
