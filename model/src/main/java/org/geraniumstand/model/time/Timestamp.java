package org.geraniumstand.model.time;

import java.time.Duration;

/**
 * Represents a point in time as read from the clocks of one process.
 *
 * @param nanos reading of the process's monotonic clock in nanoseconds, used for durations
 * @param epochMillis reading of its wall clock in milliseconds since 1970, compared with times that operators set
 */
public record Timestamp(long nanos, long epochMillis) {
    /** Number of nanoseconds in a millisecond. */
    public static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Returns this point in time plus a duration.
     *
     * @param duration the duration to add, which may be negative
     */
    public Timestamp plus(Duration duration) {
        return new Timestamp(nanos + duration.toNanos(), epochMillis + duration.toMillis());
    }

    /**
     * Returns the number of milliseconds between an earlier point in time and this one.
     *
     * @param earlier the earlier point in time
     */
    public long millisSince(Timestamp earlier) {
        return (nanos - earlier.nanos) / NANOS_PER_MILLI;
    }
}
