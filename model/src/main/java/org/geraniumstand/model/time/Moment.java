package org.geraniumstand.model.time;

import java.time.Duration;

/**
 * A point in time as one process reads it.
 *
 * @param nanos reading of the process's monotonic clock in nanoseconds, for durations
 * @param epochMillis reading of its wall clock in milliseconds since 1970, for times that operators set
 */
public record Moment(long nanos, long epochMillis) {
    /** Nanoseconds in a millisecond. */
    public static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Returns the moment that lies a duration later.
     *
     * @param duration the duration, may be negative
     */
    public Moment plus(Duration duration) {
        return new Moment(nanos + duration.toNanos(), epochMillis + duration.toMillis());
    }

    /**
     * Returns the milliseconds passed since an earlier moment.
     *
     * @param earlier the earlier moment
     */
    public long millisSince(Moment earlier) {
        return (nanos - earlier.nanos) / NANOS_PER_MILLI;
    }
}
