package org.geraniumstand.model.relay;

import java.util.Map;
import org.geraniumstand.model.id.TeamId;

/**
 * The requests of each team that a process's calls began to run in a window of true time, so far; they only grow.
 *
 * @param window number of the window
 * @param counts requests by team
 */
public record WindowCounts(long window, Map<TeamId, Long> counts) {
    /** Copies the map. */
    public WindowCounts {
        counts = Map.copyOf(counts);
    }

    /** Returns the requests of all teams. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
