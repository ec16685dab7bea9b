package org.geraniumstand.model.fleet;

import java.util.List;
import org.geraniumstand.model.id.ServerId;

/**
 * Reports a change of a model engine's prefix cache; events may arrive late or get lost.
 *
 * @param server the backend server
 * @param sequence sequence number, incremented by one with each event, which makes lost events detectable
 * @param stored hashes of the prefix blocks added to the cache
 * @param evicted hashes of the prefix blocks evicted from the cache
 */
public record CacheEvent(ServerId server, long sequence, List<Long> stored, List<Long> evicted) {
    /** Makes defensive copies of the lists. */
    public CacheEvent {
        stored = List.copyOf(stored);
        evicted = List.copyOf(evicted);
    }
}
