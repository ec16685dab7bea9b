package org.geraniumstand.model.time;

import java.util.Comparator;

/**
 * A hybrid logical time that orders events over all processes.
 *
 * <p>Source: Kulkarni and others, "Logical Physical Clocks", 2014.
 *
 * @param epochMillis largest wall clock reading known, in milliseconds since 1970
 * @param counter orders events of the same millisecond
 */
public record HybridTime(long epochMillis, int counter) implements Comparable<HybridTime> {
    private static final Comparator<HybridTime> ORDER =
            Comparator.comparingLong(HybridTime::epochMillis).thenComparingInt(HybridTime::counter);

    /** The time before all events. */
    public static final HybridTime ZERO = new HybridTime(0, 0);

    /**
     * Returns the time of the next local event.
     *
     * @param wallMillis the wall clock now, in milliseconds since 1970
     */
    public HybridTime next(long wallMillis) {
        if (wallMillis > epochMillis) {
            return new HybridTime(wallMillis, 0);
        }
        return new HybridTime(epochMillis, counter + 1);
    }

    /**
     * Returns the later of this time and one that came from another process.
     *
     * @param other the other time
     */
    public HybridTime merge(HybridTime other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public int compareTo(HybridTime other) {
        return ORDER.compare(this, other);
    }
}
