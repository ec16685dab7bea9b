package org.geraniumstand.model.relay;

import java.util.List;

/**
 * Asks an aggregator for units of quotas.
 *
 * @param number number of this request at the aggregator, from 1; zero if the process belongs to a build that uses quotas
 *     without grants
 * @param acknowledged number of the latest request that the aggregator has answered; zero if there is none
 * @param holdings what the process holds and asks for, by team
 * @param told levels that an aggregator told this process last, for one that does not know them
 * @param toldAgeMillis milliseconds since these levels were told
 * @param leaving whether the process reports to other aggregators from now on
 */
public record QuotaRequest(
        long number,
        long acknowledged,
        List<QuotaHolding> holdings,
        List<TeamLevel> told,
        long toldAgeMillis,
        boolean leaving) {
    /** The request of a build that uses quotas without grants. */
    public static final QuotaRequest NONE = new QuotaRequest(0, 0, List.of(), List.of(), 0, false);

    /** Copies the lists. */
    public QuotaRequest {
        holdings = List.copyOf(holdings);
        told = List.copyOf(told);
    }

    /** Returns whether the process uses granted units only. */
    public boolean usesGrants() {
        return number > 0;
    }
}
