package org.geraniumstand.model.relay;

import java.util.List;

/**
 * Answers a {@link QuotaRequest}.
 *
 * @param number number of the request; zero if the aggregator belongs to a build that grants nothing
 * @param settled whether the aggregator knows what was used before it started to add up
 * @param levels levels of the teams in the request
 * @param grants units for the process, by team; a team that the aggregator does not know is left out
 * @param totalUnits units that all other processes have used, since the aggregator started to add up
 */
public record QuotaAnswer(
        long number, boolean settled, List<TeamLevel> levels, List<QuotaGrant> grants, long totalUnits) {
    /** The answer of a build that grants nothing. */
    public static final QuotaAnswer NONE = new QuotaAnswer(0, false, List.of(), List.of(), 0);

    /** Copies the lists. */
    public QuotaAnswer {
        levels = List.copyOf(levels);
        grants = List.copyOf(grants);
    }
}
