package org.geraniumstand.entry.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Keeps the newest entries up to a fixed number.
 *
 * @param <T> type of the entries
 */
final class Ring<T> {
    private final int capacity;
    private final Deque<T> entries;
    private long dropped;

    Ring(int capacity) {
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

    /** Returns the entries, the oldest first. */
    synchronized List<T> entries() {
        return List.copyOf(entries);
    }

    /** Returns how many entries no longer fitted. */
    synchronized long dropped() {
        return dropped;
    }
}
