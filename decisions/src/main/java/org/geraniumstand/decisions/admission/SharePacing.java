package org.geraniumstand.decisions.admission;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.RequestFacts;

/**
 * Holds a team that has more than its share under way to a slow start of further requests.
 *
 * <p>Engines compute prompts one after the other, so turns in the queue alone do not protect a small team: many prompts
 * of a large team, sent while servers had room, are in front of its own.
 */
@Decision(
        name = "share-pacing",
        summary =
                "A team with more than its share under way may have few prompts that are not computed yet, while other"
                        + " teams have work.")
public final class SharePacing {
    private static final int MOST_STARTING = 1;

    private SharePacing() {}

    /**
     * Returns whether a request waits although servers may have room.
     *
     * @param facts the request
     * @param flights the requests of this process
     * @param weight the weight of a team
     */
    public static boolean holds(RequestFacts facts, Collection<Flight> flights, ToIntFunction<TeamId> weight) {
        Set<TeamId> teams = new HashSet<>();
        int all = 0;
        int own = 0;
        int starting = 0;
        for (Flight flight : flights) {
            if (!flight.facts().service().equals(facts.service())) {
                continue;
            }
            teams.add(flight.facts().team());
            if (flight.waits()) {
                continue;
            }
            all++;
            if (flight.facts().team().equals(facts.team())) {
                own++;
                starting += flight.started() ? 0 : 1;
            }
        }
        if (teams.size() < 2 || starting < MOST_STARTING) {
            return false;
        }
        double weights = teams.stream().mapToInt(weight).sum();
        return own > all * weight.applyAsInt(facts.team()) / weights;
    }
}
