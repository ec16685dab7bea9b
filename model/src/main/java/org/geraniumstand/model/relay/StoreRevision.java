package org.geraniumstand.model.relay;

/**
 * Identifies a state of the store.
 *
 * <p>A store that is restored from a backup begins a new era, in which it assigns the numbers of lost states again.
 *
 * @param era number of the era, which increases with each restoration, or {@link #UNKNOWN_ERA}
 * @param number revision number within the era; zero before the first change
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** Stands for the era of a store that states none. */
    public static final long UNKNOWN_ERA = -1;

    /** Precedes all states of the store; as an expected revision, it states that a key does not exist. */
    public static final StoreRevision NONE = new StoreRevision(UNKNOWN_ERA, 0);

    private static final int ERA_SHIFT = 32;

    /** Returns whether this state follows another one. */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /** Returns the later of two states. */
    public static StoreRevision max(StoreRevision a, StoreRevision b) {
        return a.isAfter(b) ? a : b;
    }

    /** Returns a number that increases with the era and, within an era, with the revision. */
    public long toNumber() {
        return (Math.max(0, era) << ERA_SHIFT) + number;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return era == other.era ? Long.compare(number, other.number) : Long.compare(era, other.era);
    }

    // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof StoreRevision same && era == same.era && number == same.number;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(31 * era + number);
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
