package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/** Sets the delays with which a process checks for a vacant leader key and acquires it. */
@Decision(
        name = "duty-seeking",
        summary = "Two candidate processes check often whether the leader key is vacant and acquire it at "
                + "once; the others check rarely and acquire it only if it is still vacant later.")
public final class LeaderElectionTiming {
    /** Milliseconds between checks of a candidate; the deletion event from the store usually arrives sooner. */
    private static final long CANDIDATE_POLL_MILLIS = 2_500;

    /**
     * Milliseconds between checks of the other processes; this is frequent enough, because reports are due 10,000 ms
     * after their window.
     */
    private static final long POLL_MILLIS = 8_000;

    /**
     * Maximum delay in milliseconds before a candidate acquires the key; the jitter makes simultaneous attempts rare.
     */
    private static final long CANDIDATE_MAX_DELAY_MILLIS = 300;

    /** Head start of the candidates in milliseconds; they need two calls to the store. */
    private static final long HEAD_START_MILLIS = 1_500;

    /**
     * Maximum additional delay of the other processes in milliseconds; all of them learn of a new leader within about
     * 500 ms.
     */
    private static final long MAX_JITTER_MILLIS = 3_000;

    private LeaderElectionTiming() {}

    /**
     * Returns the delay until the next check, in milliseconds.
     *
     * @param candidate whether this process is one of the two candidates
     * @param jitter a number from 0 to 1 that differs between processes
     */
    public static long pollDelayMillis(boolean candidate, double jitter) {
        return Math.round((candidate ? CANDIDATE_POLL_MILLIS : POLL_MILLIS) * (1 + jitter / 10));
    }

    /**
     * Returns the delay between the key becoming vacant and the attempt to acquire it, in milliseconds.
     *
     * @param candidate whether this process is one of the two candidates
     * @param jitter a number from 0 to 1 that differs between processes
     */
    public static long acquireDelayMillis(boolean candidate, double jitter) {
        return candidate
                ? Math.round(CANDIDATE_MAX_DELAY_MILLIS * jitter)
                : HEAD_START_MILLIS + Math.round(MAX_JITTER_MILLIS * jitter);
    }
}
