package org.geraniumstand.entry.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Stores a fixed number of entries and evicts the oldest when it is full.
 *
 * @param <T> type of the entries
 */
final class RingBuffer<T> {
    private final int capacity;
    private final Deque<T> entries;
    private long dropped;

    RingBuffer(int capacity) {
        this.capacity = capacity;
        this.entries = new ArrayDeque<>(capacity);
    }

    synchronized void add(T entry) {
        if (entries.size() == capacity) {
            entries.removeFirst();
            dropped++;
        }
        entries.addLast(entry);
    }

    /** Returns the entries, oldest first. */
    synchronized List<T> entries() {
        return List.copyOf(entries);
    }

    /** Returns the number of evicted entries. */
    synchronized long dropped() {
        return dropped;
    }
}
