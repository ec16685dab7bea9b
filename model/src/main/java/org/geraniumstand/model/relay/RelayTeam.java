package org.geraniumstand.model.relay;

import java.util.List;
import java.util.OptionalInt;
import org.geraniumstand.model.id.TeamId;

/**
 * Describes a team, its API keys and its quota across all processes.
 *
 * @param id identifier of the team
 * @param keys API keys of its callers
 * @param priority priority of its calls, which overrides the priority of the route
 * @param countsTokens whether the quota counts tokens instead of requests
 * @param defaultTokens tokens charged for a request without a token count
 * @param ratePerSecond quota per second, zero for no quota
 * @param burst maximum burst: quota that may be used at once
 */
public record RelayTeam(
        TeamId id,
        List<String> keys,
        OptionalInt priority,
        boolean countsTokens,
        long defaultTokens,
        double ratePerSecond,
        double burst) {
    /** Makes a defensive copy of the list. */
    public RelayTeam {
        keys = List.copyOf(keys);
    }

    /** Omits the API keys. */
    @Override
    public String toString() {
        return "RelayTeam[id=" + id + ", ratePerSecond=" + ratePerSecond + ", burst=" + burst + "]";
    }
}
