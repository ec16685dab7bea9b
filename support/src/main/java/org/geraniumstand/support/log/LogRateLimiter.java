package org.geraniumstand.support.log;

import java.util.HashMap;
import java.util.Map;

/** Limits the lines per second of each log event and counts the suppressed ones; not thread-safe. */
final class LogRateLimiter {
    /** Limit for each event; a process that serves 100 requests per second writes about 100 lines of each event. */
    static final int LINES_PER_SECOND = 200;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Map<String, Integer> written = new HashMap<>();
    private final Map<String, Integer> suppressed = new HashMap<>();
    private long second;

    /**
     * Counts a line and decides whether it may be written.
     *
     * @param event event name of the line
     * @param atMillis wall clock time of the line, in milliseconds since 1970
     * @return whether the line is within the limit of its event
     */
    boolean tryAcquire(String event, long atMillis) {
        long now = Math.floorDiv(atMillis, MILLIS_PER_SECOND);
        if (now != second) {
            second = now;
            written.clear();
        }
        if (written.merge(event, 1, Integer::sum) <= LINES_PER_SECOND) {
            return true;
        }
        suppressed.merge(event, 1, Integer::sum);
        return false;
    }

    /** Returns and resets the number of suppressed lines by event. */
    Map<String, Integer> takeSuppressed() {
        Map<String, Integer> counts = Map.copyOf(suppressed);
        suppressed.clear();
        return counts;
    }
}
