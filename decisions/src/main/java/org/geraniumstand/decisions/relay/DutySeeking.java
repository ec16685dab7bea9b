package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/** Decides when a process looks for a duty that nobody holds, and when it takes one. */
@Decision(
        name = "duty-seeking",
        summary =
                "Two processes look often whether the duty is free and take it at once; the others look rarely and take"
                        + " it only if it is still free later.")
public final class DutySeeking {
    /** Milliseconds between looks of the first to take it; its removal from the store usually tells sooner. */
    private static final long FIRST_LOOK_MILLIS = 2_500;

    /** Milliseconds between looks of the others; reports are due 10,000 after their window, which is long enough. */
    private static final long LOOK_MILLIS = 8_000;

    /** Longest wait of the first before they take it, in milliseconds, so that they seldom try at once. */
    private static final long FIRST_WAIT_MILLIS = 300;

    /** Milliseconds that the others leave to the first, who need two calls to the store. */
    private static final long LEFT_TO_FIRST_MILLIS = 1_500;

    /** Longest further wait of the others, in milliseconds; one that took it is known to all within about 500. */
    private static final long SPREAD_MILLIS = 3_000;

    private DutySeeking() {}

    /**
     * Returns the time until the next look, in milliseconds.
     *
     * @param first whether this process is one of the first to take the duty
     * @param chance a number from 0 to 1 that differs between processes
     */
    public static long lookMillis(boolean first, double chance) {
        return Math.round((first ? FIRST_LOOK_MILLIS : LOOK_MILLIS) * (1 + chance / 10));
    }

    /**
     * Returns the time until a duty that became free is taken, in milliseconds.
     *
     * @param first whether this process is one of the first to take the duty
     * @param chance a number from 0 to 1 that differs between processes
     */
    public static long waitMillis(boolean first, double chance) {
        return first
                ? Math.round(FIRST_WAIT_MILLIS * chance)
                : LEFT_TO_FIRST_MILLIS + Math.round(SPREAD_MILLIS * chance);
    }
}
