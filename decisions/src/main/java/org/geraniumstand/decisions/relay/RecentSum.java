package org.geraniumstand.decisions.relay;

/** Adds up amounts of which older ones count less. */
final class RecentSum {
    private static final double NANOS_IN_SECOND = 1e9;

    private final double averagingSeconds;
    private double sum;
    private long addedNanos;

    /**
     * Creates an empty sum.
     *
     * @param averagingSeconds time constant of the decay in seconds
     */
    RecentSum(double averagingSeconds) {
        this.averagingSeconds = averagingSeconds;
    }

    void add(double amount, long nowNanos) {
        sum = at(nowNanos) + amount;
        addedNanos = nowNanos;
    }

    double at(long nowNanos) {
        double seconds = Math.max(0, nowNanos - addedNanos) / NANOS_IN_SECOND;
        return sum * Math.exp(-seconds / averagingSeconds);
    }
}
