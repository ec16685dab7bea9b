package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/** Decides when a process looks for a duty that nobody holds, and when it takes one. */
@Decision(
        name = "duty-seeking",
        summary =
                "Two processes look often whether the duty is free and take it at once; the others look rarely and take"
                        + " it only if it is still free later.")
public final class DutySeeking {
    /** Milliseconds between looks of the candidate to take it; its removal from the store usually tells sooner. */
    private static final long CANDIDATE_POLL_MILLIS = 2_500;

    /** Milliseconds between looks of the others; reports are due 10,000 after their window, which is long enough. */
    private static final long POLL_MILLIS = 8_000;

    /** Longest wait of the candidate before they take it, in milliseconds, so that they seldom try at once. */
    private static final long CANDIDATE_MAX_DELAY_MILLIS = 300;

    /** Milliseconds that the others leave to the candidate, who need two calls to the store. */
    private static final long HEAD_START_MILLIS = 1_500;

    /** Longest further wait of the others, in milliseconds; one that took it is known to all within about 500. */
    private static final long MAX_JITTER_MILLIS = 3_000;

    private DutySeeking() {}

    /**
     * Returns the time until the next look, in milliseconds.
     *
     * @param candidate whether this process is one of the candidate to take the duty
     * @param jitter a number from 0 to 1 that differs between processes
     */
    public static long lookMillis(boolean candidate, double jitter) {
        return Math.round((candidate ? CANDIDATE_POLL_MILLIS : POLL_MILLIS) * (1 + jitter / 10));
    }

    /**
     * Returns the time until a duty that became free is taken, in milliseconds.
     *
     * @param candidate whether this process is one of the candidate to take the duty
     * @param jitter a number from 0 to 1 that differs between processes
     */
    public static long waitMillis(boolean candidate, double jitter) {
        return candidate
                ? Math.round(CANDIDATE_MAX_DELAY_MILLIS * jitter)
                : HEAD_START_MILLIS + Math.round(MAX_JITTER_MILLIS * jitter);
    }
}
