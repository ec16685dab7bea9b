package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.time.Timestamp;

/**
 * Holds the even part of a team's quota that a process uses while no aggregator answers it. Not thread-safe.
 */
final class QuotaPart {
    private static final double NANOS_IN_SECOND = Timestamp.NANOS_PER_MILLI * 1e3;

    private double level;
    private long filledNanos;

    /** Creates an empty part that fills from a time on, in nanoseconds of the monotonic clock. */
    QuotaPart(long nowNanos) {
        this.filledNanos = nowNanos;
    }

    /**
     * Sets the level, which fills from a time on.
     *
     * @param nextLevel units that this process may use
     * @param fromNanos when the part begins to fill, on the monotonic clock in nanoseconds; may lie ahead
     */
    void reset(double nextLevel, long fromNanos) {
        level = nextLevel;
        filledNanos = fromNanos;
    }

    /**
     * Fills the part.
     *
     * @param rate units per second of this process
     * @param burst maximum level
     * @param nowNanos the monotonic time in nanoseconds
     * @return the level in units; negative for a debt
     */
    double fill(double rate, double burst, long nowNanos) {
        if (nowNanos > filledNanos) {
            level = Math.min(burst, level + rate * (nowNanos - filledNanos) / NANOS_IN_SECOND);
            filledNanos = nowNanos;
        }
        return Math.min(burst, level);
    }

    /** Subtracts units that were used; negative units are given back. */
    void charge(double units) {
        level -= units;
    }
}
