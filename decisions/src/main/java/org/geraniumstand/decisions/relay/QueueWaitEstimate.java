package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Estimates how long a call waits for a place at the servers of a service; it belongs to one thread. */
@Decision(
        name = "wait-forecast",
        summary =
                "While the servers of a service are full, a call waits for as many times the mean time between the last"
                        + " places that came free as there are calls to go out before and with it.")
public final class QueueWaitEstimate {
    /** Milliseconds after which older places count half; servers are lost and come back within seconds. */
    private static final long HALVING_MILLIS = 2_000;

    private boolean queued;
    private long sinceNanos;
    private double dispatched;

    /** Creates a forecast for a service with room. */
    public QueueWaitEstimate() {}

    /** Takes in that no call waits. */
    public void onQueueEmpty() {
        queued = false;
        dispatched = 0;
    }

    /**
     * Takes in that calls wait.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onQueueNonEmpty(long nowNanos) {
        if (!queued) {
            queued = true;
            sinceNanos = nowNanos;
            dispatched = 0;
        }
        if (nowNanos - sinceNanos > HALVING_MILLIS * Moment.NANOS_PER_MILLI) {
            sinceNanos += (nowNanos - sinceNanos) / 2;
            dispatched /= 2;
        }
    }

    /**
     * Takes in that calls that waited got a place.
     *
     * @param calls how many
     */
    public void onDispatched(int calls) {
        if (queued) {
            dispatched += calls;
        }
    }

    /**
     * Returns how long a call is expected to wait, in milliseconds; zero while nothing speaks for a wait.
     *
     * <p>Until a place came free, the next one is taken to be as far away as the servers have been queued for.
     *
     * @param ahead calls that go out before it
     * @param nowNanos the monotonic time in nanoseconds
     */
    public long waitMillis(int ahead, long nowNanos) {
        if (!queued) {
            return 0;
        }
        double meanGapNanos = (nowNanos - sinceNanos) / Math.max(1.0, dispatched);
        return Math.round((ahead + 1) * meanGapNanos / Moment.NANOS_PER_MILLI);
    }
}
