package org.geraniumstand.model.time;

import java.util.Comparator;

/**
 * Represents a hybrid logical clock timestamp, which orders events across all processes.
 *
 * <p>Source: Kulkarni and others, "Logical Physical Clocks", 2014.
 *
 * @param epochMillis highest wall clock reading observed so far, in milliseconds since 1970
 * @param counter logical counter that orders events with the same wall clock reading
 */
public record HybridTime(long epochMillis, int counter) implements Comparable<HybridTime> {
    private static final Comparator<HybridTime> ORDER =
            Comparator.comparingLong(HybridTime::epochMillis).thenComparingInt(HybridTime::counter);

    /** The timestamp that precedes all events. */
    public static final HybridTime ZERO = new HybridTime(0, 0);

    /**
     * Returns the timestamp of the next local event.
     *
     * @param wallMillis current wall clock reading, in milliseconds since 1970
     */
    public HybridTime next(long wallMillis) {
        if (wallMillis > epochMillis) {
            return new HybridTime(wallMillis, 0);
        }
        return new HybridTime(epochMillis, counter + 1);
    }

    /**
     * Returns the later of this timestamp and one received from another process.
     *
     * @param other the received timestamp
     */
    public HybridTime merge(HybridTime other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public int compareTo(HybridTime other) {
        return ORDER.compare(this, other);
    }
}
