package org.geraniumstand.http.opaque;

import java.util.Arrays;

/** Keeps hashes of the latest events of a stream that were relayed, to compare repeated ones with them; not thread-safe. */
final class RelayedEvents {
    /** Maximum number of events that are kept, in events; each takes 16 bytes. */
    static final int MAX_EVENTS = 4_096;

    private static final int INITIAL_EVENTS = 16;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private long[] numbers = new long[0];
    private long[] hashes = new long[0];
    private int size;
    private boolean whole;

    /**
     * Creates an empty list.
     *
     * @param whole whether all events that the caller will have are added, as it received none elsewhere
     */
    RelayedEvents(boolean whole) {
        this.whole = whole;
    }

    /** Returns the 64-bit FNV-1a hash of the bytes between two indices, the latter exclusive. */
    static long hash(byte[] bytes, int from, int to) {
        long hash = FNV_OFFSET;
        for (int i = from; i < to; i++) {
            hash = (hash ^ (bytes[i] & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Adds an event.
     *
     * @param number the number of the event, which is larger than those of all events before
     * @param hash the hash of its bytes
     */
    void add(long number, long hash) {
        if (size == MAX_EVENTS) {
            // Removes half of the events at once, so that the cost of an event is constant on average.
            size = MAX_EVENTS / 2;
            whole = false;
            System.arraycopy(numbers, MAX_EVENTS - size, numbers, 0, size);
            System.arraycopy(hashes, MAX_EVENTS - size, hashes, 0, size);
        } else if (size == numbers.length) {
            int length = Math.max(INITIAL_EVENTS, 2 * size);
            numbers = Arrays.copyOf(numbers, length);
            hashes = Arrays.copyOf(hashes, length);
        }
        numbers[size] = number;
        hashes[size] = hash;
        size++;
    }

    /**
     * Returns whether an event can't be one that was relayed: it differs from the one of its number, or none of its number was
     * relayed. Events before the oldest that is kept can't be told apart unless all are kept.
     *
     * @param number the number of the event
     * @param hash the hash of its bytes
     */
    boolean differs(long number, long hash) {
        if (size == 0 || number < numbers[0]) {
            return whole;
        }
        int index = Arrays.binarySearch(numbers, 0, size, number);
        return index < 0 || hashes[index] != hash;
    }
}
