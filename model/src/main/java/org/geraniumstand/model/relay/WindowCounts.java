package org.geraniumstand.model.relay;

import java.util.Map;
import org.geraniumstand.model.id.TeamId;

/**
 * Counts each team's requests that a process started in a window of estimated wall clock time; counts never decrease.
 *
 * @param window index of the window
 * @param counts number of requests by team
 */
public record WindowCounts(long window, Map<TeamId, Long> counts) {
    /** Makes a defensive copy of the map. */
    public WindowCounts {
        counts = Map.copyOf(counts);
    }

    /** Returns the number of requests of all teams. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
