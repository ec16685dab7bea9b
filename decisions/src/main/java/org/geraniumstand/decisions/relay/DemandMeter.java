package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/** Measures the rate of tokens that callers request from all processes together. */
@Decision(
        name = "demand-meter",
        summary = "Measured demand rises at once and falls slowly, so that servers are still present for a "
                + "second load peak, and stays constant while the usage of other processes is unknown.")
public final class DemandMeter {
    private static final double NANOS_IN_SECOND = 1e9;

    /** Time constant of a rise in seconds; it keeps a single long prompt from counting as a load peak. */
    private static final double RISE_SECONDS = 2;

    /** Time constant of a fall in seconds; a new server takes several seconds to boot and to warm up. */
    private static final double FALL_SECONDS = 12;

    private double perSecond;
    private long lastUnits;
    private long lastNanos;
    private boolean started;

    /** Creates a meter without readings. */
    public DemandMeter() {}

    /**
     * Records a reading of the cumulative token count.
     *
     * @param units tokens admitted by all processes since the start
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReading(long units, long nowNanos) {
        if (!started || units < lastUnits) {
            // The count of a process that has ended drops out of the total, so the next reading becomes the new
            // baseline.
            started = true;
            lastUnits = units;
            lastNanos = nowNanos;
            return;
        }
        double seconds = (nowNanos - lastNanos) / NANOS_IN_SECOND;
        if (seconds <= 0) {
            return;
        }
        double rate = (units - lastUnits) / seconds;
        double averagingSeconds = rate > perSecond ? RISE_SECONDS : FALL_SECONDS;
        perSecond += (rate - perSecond) * Math.min(1, seconds / averagingSeconds);
        lastUnits = units;
        lastNanos = nowNanos;
    }

    /** Records that the usage of other processes is unknown; the demand keeps its last value. */
    public void onUnknown() {
        started = false;
    }

    /** Returns the demand in tokens per second. */
    public double perSecond() {
        return perSecond;
    }
}
