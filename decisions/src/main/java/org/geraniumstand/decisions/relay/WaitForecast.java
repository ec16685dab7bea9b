package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Estimates how long a call waits for a place at the servers of a service; it belongs to one thread. */
@Decision(
        name = "wait-forecast",
        summary =
                "While the servers of a service are full, a call waits for as many times the mean time between the last"
                        + " places that came free as there are calls to go out before and with it.")
public final class WaitForecast {
    /** Milliseconds after which older places count half; servers are lost and come back within seconds. */
    private static final long MEMORY_MILLIS = 2_000;

    private boolean full;
    private long sinceNanos;
    private double placed;

    /** Creates a forecast for a service with room. */
    public WaitForecast() {}

    /** Takes in that no call waits. */
    public void onRoom() {
        full = false;
        placed = 0;
    }

    /**
     * Takes in that calls wait.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onFull(long nowNanos) {
        if (!full) {
            full = true;
            sinceNanos = nowNanos;
            placed = 0;
        }
        if (nowNanos - sinceNanos > MEMORY_MILLIS * Moment.NANOS_PER_MILLI) {
            sinceNanos += (nowNanos - sinceNanos) / 2;
            placed /= 2;
        }
    }

    /**
     * Takes in that calls that waited got a place.
     *
     * @param calls how many
     */
    public void onPlaced(int calls) {
        if (full) {
            placed += calls;
        }
    }

    /**
     * Returns how long a call is expected to wait, in milliseconds; zero while nothing speaks for a wait.
     *
     * <p>Until a place came free, the next one is taken to be as far away as the servers have been full for.
     *
     * @param ahead calls that go out before it
     * @param nowNanos the monotonic time in nanoseconds
     */
    public long waitMillis(int ahead, long nowNanos) {
        if (!full) {
            return 0;
        }
        double between = (nowNanos - sinceNanos) / Math.max(1.0, placed);
        return Math.round((ahead + 1) * between / Moment.NANOS_PER_MILLI);
    }
}
