package org.geraniumstand.decisions.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.TeamId;

/**
 * The order in which teams take turns.
 *
 * <p>Each request moves its team's virtual time on by its work over the team's weight; the team with the least virtual
 * time is next. A team that was idle starts at the present, so that it neither saves up turns nor waits for old ones.
 *
 * <p>Source: Goyal, Vin and Cheng, "Start-time fair queueing", 1997.
 */
@Decision(
        name = "fair-share",
        summary = "Teams take turns by work over weight, so that a large team cannot starve a small one.")
final class TeamShares {
    private final Map<TeamId, Double> virtual = new HashMap<>();
    private double present;

    /** Notes that a team that had nothing waiting has something now. */
    void onActive(TeamId team) {
        virtual.merge(team, present, Math::max);
    }

    /** Charges a team for a request that goes out. */
    void charge(TeamId team, double work, int weight) {
        double start = Math.max(virtual.getOrDefault(team, 0.0), 0);
        present = Math.max(present, start);
        virtual.put(team, start + work / Math.max(1, weight));
    }

    /** Returns the team whose turn it is. */
    TeamId next(Collection<TeamId> teams) {
        TeamId best = null;
        double least = Double.POSITIVE_INFINITY;
        for (TeamId team : teams) {
            double time = virtual.getOrDefault(team, 0.0);
            if (time < least) {
                least = time;
                best = team;
            }
        }
        return best;
    }
}
