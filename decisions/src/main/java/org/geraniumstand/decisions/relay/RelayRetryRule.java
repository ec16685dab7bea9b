package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.time.Timestamp;

/** Decides whether a failed call may be retried at another server. */
@Decision(
        name = "repeat-rule",
        summary =
                "A call is retried at another server if it certainly did not run or is safe to retry, and if its"
                        + " route and its deadline allow another attempt, unless two servers crashed as they began to answer it.")
public final class RelayRetryRule {
    /** Minimum time before the deadline for a retry to be useful, in milliseconds; a plain answer takes about 20 ms. */
    private static final long MIN_REMAINING_MILLIS = 30;

    /**
     * Attempts beyond the route's maximum that may end without the call having run; a data centre has about as many
     * servers.
     */
    private static final int MAX_NOT_RUN_ATTEMPTS = 4;

    /** Servers that may crash shortly after they began to answer a call before the call itself counts as the cause. */
    private static final int MAX_SUSPICIOUS_ENDS = 1;

    private RelayRetryRule() {}

    /**
     * Returns whether a call may be retried at another server.
     *
     * @param call the call, already released from its server
     * @param end how the last attempt ended
     * @param nowNanos the monotonic time in nanoseconds
     */
    public static boolean mayRetry(RelayCall call, AttemptEnd end, long nowNanos) {
        if (end == AttemptEnd.ANSWERED || end == AttemptEnd.CANCELLED) {
            return false;
        }
        if (call.relayed() && !canBeResumed(call)) {
            // The caller has received part of the answer, and no other server can continue it.
            return false;
        }
        boolean notRun = !mayHaveRun(end);
        if (!notRun && !call.route().retryable()) {
            return false;
        }
        if (call.attempts() >= call.route().maxAttempts() && !notRun) {
            return false;
        }
        if (call.suspiciousEnds() > MAX_SUSPICIOUS_ENDS) {
            return false;
        }
        if (call.attempts() > call.route().maxAttempts() + MAX_NOT_RUN_ATTEMPTS) {
            return false;
        }
        return call.deadlineNanos() - nowNanos > MIN_REMAINING_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    private static boolean canBeResumed(RelayCall call) {
        return call.route().kind() == CallKind.STREAM && call.route().resumable() && call.positionKnown();
    }

    /**
     * Returns whether the server may have run the call of an attempt.
     *
     * @param end how the attempt ended
     */
    public static boolean mayHaveRun(AttemptEnd end) {
        return end != AttemptEnd.NOT_CONNECTED && end != AttemptEnd.DECLINED;
    }
}
