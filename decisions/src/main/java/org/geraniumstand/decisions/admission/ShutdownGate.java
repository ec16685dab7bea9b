package org.geraniumstand.decisions.admission;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Decides whether a process accepts new work during a graceful shutdown, and when the shutdown is complete. */
@Decision(
        name = "stop-gate",
        summary = "A process that shuts down accepts new work until the load balancer has had time to see that it is"
                + " not ready.")
public final class ShutdownGate {
    /** Time until the load balancer has seen that a process is not ready, in milliseconds. */
    public static final long BALANCER_LAG_MILLIS = 3_000;

    private Timestamp requestedAt;
    private boolean completed;

    /**
     * Records that a graceful shutdown of the process was requested.
     *
     * @param now the current time
     */
    public void onShutdownRequested(Timestamp now) {
        if (requestedAt == null) {
            requestedAt = now;
        }
    }

    /**
     * Returns whether the process accepts new work.
     *
     * @param now the current time
     */
    public boolean acceptsNewWork(Timestamp now) {
        return requestedAt == null || now.millisSince(requestedAt) < BALANCER_LAG_MILLIS;
    }

    /**
     * Returns true the first time that the shutdown is complete, and false on all other calls.
     *
     * @param idle whether all work of the process has ended
     * @param now the current time
     */
    public boolean tryComplete(boolean idle, Timestamp now) {
        if (completed || !idle || acceptsNewWork(now)) {
            return false;
        }
        completed = true;
        return true;
    }
}
