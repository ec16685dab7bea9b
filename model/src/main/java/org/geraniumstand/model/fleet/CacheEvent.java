package org.geraniumstand.model.fleet;

import java.util.List;
import org.geraniumstand.model.id.ServerId;

/**
 * A change of a model engine's prefix cache; events come late and with gaps.
 *
 * @param server the backend server
 * @param sequence grows by one with each event, so that gaps show
 * @param stored hashes of prefix blocks that were stored
 * @param evicted hashes of prefix blocks that were evicted
 */
public record CacheEvent(ServerId server, long sequence, List<Long> stored, List<Long> evicted) {
    /** Copies the lists. */
    public CacheEvent {
        stored = List.copyOf(stored);
        evicted = List.copyOf(evicted);
    }
}
