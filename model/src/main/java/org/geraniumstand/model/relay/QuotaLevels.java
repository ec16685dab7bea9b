package org.geraniumstand.model.relay;

import java.util.List;

/**
 * Holds the levels of all quotas at an aggregator, which another process takes over.
 *
 * @param settled whether the aggregator knows what was used before it started
 * @param levels the levels, one entry per team; empty if the other process does not need them
 */
public record QuotaLevels(boolean settled, List<TeamLevel> levels) {
    /** Levels for a process that does not need them. */
    public static final QuotaLevels NONE = new QuotaLevels(false, List.of());

    /** Copies the list. */
    public QuotaLevels {
        levels = List.copyOf(levels);
    }
}
