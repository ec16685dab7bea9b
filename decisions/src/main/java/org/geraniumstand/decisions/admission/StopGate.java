package org.geraniumstand.decisions.admission;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Tells whether new work is taken while the process stops. */
@Decision(
        name = "stop-gate",
        summary = "A stopping process takes new work until the balancer must have seen that it is not ready.")
public final class StopGate {
    /** Time after which the balancer has seen that a process is not ready, in milliseconds. */
    public static final long BALANCER_LAG_MILLIS = 3_000;

    private Moment requested;
    private boolean completed;

    /**
     * Takes in that the process was asked to stop.
     *
     * @param now the time
     */
    public void onStop(Moment now) {
        if (requested == null) {
            requested = now;
        }
    }

    /**
     * Returns whether new work is taken.
     *
     * @param now the time
     */
    public boolean open(Moment now) {
        return requested == null || now.millisSince(requested) < BALANCER_LAG_MILLIS;
    }

    /**
     * Returns whether the stop is completed, once.
     *
     * @param idle whether all work has ended
     * @param now the time
     */
    public boolean completes(boolean idle, Moment now) {
        if (completed || !idle || open(now)) {
            return false;
        }
        completed = true;
        return true;
    }
}
