package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.time.Moment;

/** Decides whether a call that failed at a server may go to another. */
@Decision(
        name = "repeat-rule",
        summary = "A call goes to a further server if it surely did not run or may run again, and if its route and"
                + " its deadline allow it.")
public final class RepeatRule {
    /** Milliseconds that must be left for a further server to be worth its while; a plain answer takes about 20. */
    private static final long MIN_REMAINING_MILLIS = 30;

    /** Attempts beyond those of the route that may end without the call having run; a data centre has about as many servers. */
    private static final int MAX_NOT_RUN_ATTEMPTS = 4;

    private RepeatRule() {}

    /**
     * Returns whether a call may go to a further server.
     *
     * @param call the call, already taken back from its server
     * @param end how the attempt ended
     * @param nowNanos the monotonic time in nanoseconds
     */
    public static boolean test(RelayCall call, AttemptEnd end, long nowNanos) {
        if (end == AttemptEnd.ANSWERED || end == AttemptEnd.CANCELLED) {
            return false;
        }
        if (call.relayed()
                && !(call.route().kind() == CallKind.STREAM && call.route().resumable())) {
            // A part of the answer is out that no other server can continue.
            return false;
        }
        boolean notRun = !mayHaveRun(end);
        if (!notRun && !call.route().repeatable()) {
            return false;
        }
        if (call.attempts() >= call.route().maxAttempts() && !notRun) {
            return false;
        }
        if (call.attempts() > call.route().maxAttempts() + MAX_NOT_RUN_ATTEMPTS) {
            return false;
        }
        return call.deadlineNanos() - nowNanos > MIN_REMAINING_MILLIS * Moment.NANOS_PER_MILLI;
    }

    /**
     * Returns whether a server may have run a call whose attempt ended so.
     *
     * @param end the end
     */
    public static boolean mayHaveRun(AttemptEnd end) {
        return end != AttemptEnd.NOT_CONNECTED && end != AttemptEnd.DECLINED;
    }
}
