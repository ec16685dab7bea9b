package org.geraniumstand.decisions.orders;

import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;

/** Decides whether a request waits for an order that another request has in flight. */
@Decision(
        name = "await-claim",
        summary = "A second request with the same key waits for the first request's answer while that request's"
                + " process is alive.")
public final class AwaitClaim {
    private AwaitClaim() {}

    /**
     * Returns whether the answer may still arrive before the deadline.
     *
     * @param holder the process that holds the claim
     * @param live the live members
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     * @param deadlineNanos when the caller stops waiting, on the monotonic clock in nanoseconds
     */
    public static boolean shouldWait(ProcessId holder, Set<ProcessId> live, long nowNanos, long deadlineNanos) {
        return live.contains(holder) && nowNanos - deadlineNanos < 0;
    }
}
