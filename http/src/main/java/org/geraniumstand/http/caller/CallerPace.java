package org.geraniumstand.http.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.geraniumstand.decisions.Decision;

/**
 * Decides which callers are closed because they take nothing of the answers that wait for them.
 *
 * <p>In calm, a caller that takes nothing has a long time. Where others need what it keeps from them, the callers that have
 * taken nothing for longest go first, but one that takes a part now and then has more time, as it has gone on before.
 */
@Decision(
        name = "caller-pace",
        summary =
                "Closes callers that take nothing of their answers: after a long time, or the longest first where others need their room.")
final class CallerPace {
    /**
     * Time after which a caller that takes nothing is closed, in milliseconds. Callers read their answers as they come; the
     * window of a slow one opens in steps of up to 64 kB, so that less than 2.5 kB/s look like nothing for so long.
     */
    static final long MAX_STALLED_MILLIS = 30_000;

    /**
     * Time after which it may be closed where others need its room, in milliseconds; longer than lost packets take, and than a
     * step of the window at 32 kB/s.
     */
    static final long STALLED_MILLIS_UNDER_PRESSURE = 5_000;

    /** Multiple of the longest time that a caller has left between two steps so far, within which it may be expected to go on. */
    private static final int GAPS = 3;

    /** Divides the callers that may be closed at once for memory, so that no more go than necessary. */
    private static final int MEMORY_PARTS = 4;

    private CallerPace() {}

    /**
     * Holds a caller that takes nothing of what waits for it.
     *
     * @param caller the caller
     * @param millis time since it last took a byte, in milliseconds
     * @param waiting number of calls that wait for the place which its call holds at a backend server; 0 if it holds none
     * @param longestGapMillis longest time after which it took the next bytes so far, in milliseconds; 0 if it never stalled before
     */
    record Stalled<C>(C caller, long millis, int waiting, long longestGapMillis) {
        private boolean evictable() {
            return millis >= Math.max(STALLED_MILLIS_UNDER_PRESSURE, GAPS * longestGapMillis);
        }
    }

    /**
     * Returns the callers to close.
     *
     * @param stalled the callers that take nothing
     * @param memoryShort whether memory was refused to a caller since the last decision
     */
    static <C> List<Stalled<C>> toClose(List<Stalled<C>> stalled, boolean memoryShort) {
        List<Stalled<C>> longestFirst = stalled.stream()
                .sorted(Comparator.<Stalled<C>>comparingLong(Stalled::millis).reversed())
                .toList();
        long evictable = stalled.stream().filter(Stalled::evictable).count();
        long forMemory = memoryShort ? (evictable + MEMORY_PARTS - 1) / MEMORY_PARTS : 0;
        List<Stalled<C>> closed = new ArrayList<>();
        for (Stalled<C> caller : longestFirst) {
            boolean needed = closed.size() < Math.max(forMemory, caller.waiting());
            if (caller.millis() >= MAX_STALLED_MILLIS || (needed && caller.evictable())) {
                closed.add(caller);
            }
        }
        return List.copyOf(closed);
    }
}
