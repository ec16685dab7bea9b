package org.geraniumstand.decisions.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.TeamId;

/**
 * Schedules teams by start-time fair queueing.
 *
 * <p>Each request advances its team's virtual time by the request's cost divided by the team's weight; the team with
 * the least virtual time is next. A team that was idle starts at the current virtual time, so that it neither gains an
 * advantage from having been idle nor is penalised for it.
 *
 * <p>Source: Goyal, Vin and Cheng, "Start-time fair queueing", 1997.
 */
@Decision(
        name = "fair-share",
        summary = "Teams are scheduled by cost divided by weight, so that a large team cannot starve a small one.")
final class TeamScheduler {
    private final Map<TeamId, Double> virtualTimes = new HashMap<>();
    private double currentVirtualTime;

    /** Advances the virtual time of a team that was idle and now has a waiting request. */
    void onActive(TeamId team) {
        virtualTimes.merge(team, currentVirtualTime, Math::max);
    }

    /** Charges a team the cost of a dispatched request. */
    void charge(TeamId team, double cost, int weight) {
        double start = Math.max(virtualTimes.getOrDefault(team, 0.0), 0);
        currentVirtualTime = Math.max(currentVirtualTime, start);
        virtualTimes.put(team, start + cost / Math.max(1, weight));
    }

    /** Returns the team with the least virtual time. */
    TeamId next(Collection<TeamId> teams) {
        TeamId best = null;
        double least = Double.POSITIVE_INFINITY;
        for (TeamId team : teams) {
            double virtualTime = virtualTimes.getOrDefault(team, 0.0);
            if (virtualTime < least) {
                least = virtualTime;
                best = team;
            }
        }
        return best;
    }
}
