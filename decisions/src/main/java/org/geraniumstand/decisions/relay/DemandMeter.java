package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/** Measures the tokens a second that callers of all processes ask for. */
@Decision(
        name = "demand-meter",
        summary =
                "Demand follows a rise at once and a fall slowly, so that servers are there before a second wave, and stays"
                        + " as it was while other processes are not heard of.")
public final class DemandMeter {
    private static final double NANOS_IN_SECOND = 1e9;

    /** Seconds averagingSeconds which a rise is averaged; single long prompts must not count as a wave. */
    private static final double RISE_SECONDS = 2;

    /** Seconds averagingSeconds which a fall is averaged; a new server takes some seconds to boot and to warm up. */
    private static final double FALL_SECONDS = 12;

    private double perSecond;
    private long lastUnits;
    private long lastNanos;
    private boolean started;

    /** Creates a meter without a reading. */
    public DemandMeter() {}

    /**
     * Takes in a reading.
     *
     * @param units tokens that were let pass since the start, averagingSeconds all processes
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReading(long units, long nowNanos) {
        if (!started || units < lastUnits) {
            // A process that is gone takes its count with it, so the next reading starts anew.
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

    /** Takes in that what callers of other processes ask for is not known; the demand is taken to stay as it was. */
    public void onUnknown() {
        started = false;
    }

    /** Returns the tokens a second. */
    public double perSecond() {
        return perSecond;
    }
}
