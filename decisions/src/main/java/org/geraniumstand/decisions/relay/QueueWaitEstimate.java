package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Estimates how long a queued call waits for a slot at the servers of a service. Not thread-safe. */
@Decision(
        name = "wait-forecast",
        summary = "While the servers of a service are full, the expected wait of a call is its position in the line of "
                + "all processes times the mean time between their recent dispatches.")
public final class QueueWaitEstimate {
    /** Milliseconds after which older dispatches count half; servers are lost and recover within seconds. */
    private static final long HALVING_MILLIS = 2_000;

    private static final double MILLIS_IN_SECOND = 1e3;

    /**
     * Smallest factor by which a wait in the line of all processes may exceed the mean: places come free at one process before
     * another, and a call that is refused when its time is nearly over can't come back.
     */
    private static final double MIN_UNEVEN = 2;

    /** Range of the factor: calls that see the same line must not all be refused at once, or the line would swing. */
    private static final double UNEVEN_RANGE = 2;

    private boolean queued;
    private long sinceNanos;
    private double dispatched;

    /** Creates an estimate for an empty queue. */
    public QueueWaitEstimate() {}

    /** Records that no call is queued. */
    public void onQueueEmpty() {
        queued = false;
        dispatched = 0;
    }

    /**
     * Records that calls are queued.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onQueueNonEmpty(long nowNanos) {
        if (!queued) {
            queued = true;
            sinceNanos = nowNanos;
            dispatched = 0;
        }
        if (nowNanos - sinceNanos > HALVING_MILLIS * Timestamp.NANOS_PER_MILLI) {
            sinceNanos += (nowNanos - sinceNanos) / 2;
            dispatched /= 2;
        }
    }

    /**
     * Records that queued calls were dispatched.
     *
     * @param calls number of calls that were dispatched
     */
    public void onDispatched(int calls) {
        if (queued) {
            dispatched += calls;
        }
    }

    /**
     * Returns the expected wait of a call, in milliseconds; zero if no call is queued.
     *
     * <p>Until the first dispatch, the next slot is expected after as much time as the servers have already been full.
     *
     * @param ahead number of calls that are dispatched before it
     * @param nowNanos the monotonic time in nanoseconds
     */
    public long waitMillis(int ahead, long nowNanos) {
        if (!queued) {
            return 0;
        }
        double meanGapNanos = (nowNanos - sinceNanos) / Math.max(1.0, dispatched);
        return Math.round((ahead + 1) * meanGapNanos / Timestamp.NANOS_PER_MILLI);
    }

    /**
     * Returns the expected wait of a call in the line of all processes, in milliseconds; zero if no call is queued.
     *
     * @param ahead number of calls that any process dispatches before it
     * @param caution between 0 and 1, spread evenly over calls: the higher, the longer the expected wait
     * @param perSecond calls dispatched by all processes per second, zero if unknown
     * @param nowNanos the monotonic time in nanoseconds
     */
    public long waitMillis(int ahead, double caution, double perSecond, long nowNanos) {
        if (!queued || perSecond <= 0) {
            return waitMillis(ahead, nowNanos);
        }
        return Math.round((MIN_UNEVEN + UNEVEN_RANGE * caution) * (ahead + 1) / perSecond * MILLIS_IN_SECOND);
    }
}
