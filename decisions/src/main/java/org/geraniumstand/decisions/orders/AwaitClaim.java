package org.geraniumstand.decisions.orders;

import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;

/** Decides whether to wait for an order that another request has in flight. */
@Decision(
        name = "await-claim",
        summary = "A second request with a key waits for the first one's answer while that one's process lives.")
public final class AwaitClaim {
    private AwaitClaim() {}

    /**
     * Returns whether the answer may still come before the deadline.
     *
     * @param holder the process that holds the claim
     * @param live the live members
     * @param nowNanos the monotonic clock now, in nanoseconds
     * @param deadlineNanos when the caller stops waiting, in nanoseconds
     */
    public static boolean wait(ProcessId holder, Set<ProcessId> live, long nowNanos, long deadlineNanos) {
        return live.contains(holder) && nowNanos - deadlineNanos < 0;
    }
}
