package org.geraniumstand.decisions.retry;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.AttemptEnd;

/** Decides whether a request may be retried after a failed attempt. */
@Decision(
        name = "retry-rule",
        summary = "Only requests that are idempotent or proven not to have been executed are retried, and never after"
                + " their deadline.")
public final class RetryPolicy {
    private static final int MAX_FAILURES = 3;

    private RetryPolicy() {}

    /**
     * Returns whether the backend server may have executed the request.
     *
     * @param end how the attempt ended
     */
    public static boolean mayHaveRun(AttemptEnd end) {
        return end != AttemptEnd.NOT_CONNECTED && end != AttemptEnd.DECLINED;
    }

    /**
     * Returns whether a request may be retried.
     *
     * @param idempotent whether the request may be sent to backend servers more than once
     * @param end how its latest attempt ended
     * @param failures number of failed attempts, including the latest one
     * @param deadlineNanos when the caller stops waiting, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     */
    public static boolean allowsRetry(
            boolean idempotent, AttemptEnd end, int failures, long deadlineNanos, long nowNanos) {
        if (end == AttemptEnd.ANSWERED || end == AttemptEnd.CANCELLED) {
            return false;
        }
        if (!idempotent && mayHaveRun(end)) {
            return false;
        }
        return failures <= MAX_FAILURES && nowNanos < deadlineNanos;
    }
}
