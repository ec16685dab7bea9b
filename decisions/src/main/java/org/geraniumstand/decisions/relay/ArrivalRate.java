package org.geraniumstand.decisions.relay;

/** Estimates the rate of events as an exponentially decaying average. */
final class ArrivalRate {
    /** Time constant of the average in seconds. */
    private static final double AVERAGING_SECONDS = 10;

    private static final double NANOS_IN_SECOND = 1e9;

    private double count;
    private long countedNanos;

    void onArrival(long nowNanos) {
        count = decayedCount(nowNanos) + 1;
        countedNanos = nowNanos;
    }

    double perSecond(long nowNanos) {
        return decayedCount(nowNanos) / AVERAGING_SECONDS;
    }

    private double decayedCount(long nowNanos) {
        double seconds = Math.max(0, nowNanos - countedNanos) / NANOS_IN_SECOND;
        return count * Math.exp(-seconds / AVERAGING_SECONDS);
    }
}
