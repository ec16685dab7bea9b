package org.geraniumstand.decisions.retry;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.AttemptEnd;

/** Tells whether a failed attempt may be repeated at all. */
@Decision(
        name = "retry-rule",
        summary = "Only idempotent work, or work that is proven not to have run, is tried again, and never past its"
                + " deadline.")
public final class RetryRule {
    private static final int MOST_FAILURES = 3;

    private RetryRule() {}

    /**
     * Returns whether an attempt may have run at the backend server.
     *
     * @param end how it ended
     */
    public static boolean mayHaveRun(AttemptEnd end) {
        return end != AttemptEnd.NOT_CONNECTED && end != AttemptEnd.DECLINED;
    }

    /**
     * Returns whether a request may be tried again.
     *
     * @param idempotent whether the request may reach backend servers more than once
     * @param end how its newest attempt ended
     * @param failures attempts that failed, this one included
     * @param deadlineNanos when the caller stops waiting, in nanoseconds
     * @param nowNanos the time, in nanoseconds
     */
    public static boolean test(boolean idempotent, AttemptEnd end, int failures, long deadlineNanos, long nowNanos) {
        if (end == AttemptEnd.ANSWERED || end == AttemptEnd.CANCELLED) {
            return false;
        }
        if (!idempotent && mayHaveRun(end)) {
            return false;
        }
        return failures <= MOST_FAILURES && nowNanos < deadlineNanos;
    }
}
