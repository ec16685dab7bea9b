package org.geraniumstand.model.relay;

import java.util.List;
import java.util.OptionalInt;
import org.geraniumstand.model.id.TeamId;

/**
 * A team, its keys and its quota over all processes.
 *
 * @param id the team
 * @param keys keys that its callers show
 * @param priority rank of its calls, goes before that of the route
 * @param countsTokens whether the quota counts tokens instead of requests
 * @param defaultTokens tokens that a request without a token count stands for
 * @param ratePerSecond quota a second, zero for none
 * @param burst quota that may be used at once
 */
public record RelayTeam(
        TeamId id,
        List<String> keys,
        OptionalInt priority,
        boolean countsTokens,
        long defaultTokens,
        double ratePerSecond,
        double burst) {
    /** Copies the list. */
    public RelayTeam {
        keys = List.copyOf(keys);
    }

    /** Hides the keys. */
    @Override
    public String toString() {
        return "RelayTeam[id=" + id + ", ratePerSecond=" + ratePerSecond + ", burst=" + burst + "]";
    }
}
