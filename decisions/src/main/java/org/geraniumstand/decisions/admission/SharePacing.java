package org.geraniumstand.decisions.admission;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.RequestInfo;

/**
 * Throttles a team that has more than its fair share of requests in progress: its further requests wait while one of
 * its prompts is not computed yet.
 *
 * <p>An engine computes prompts one after the other, so fair queueing alone does not protect a small team: many prompts
 * of a large team that were dispatched while servers had spare concurrency would be computed before its own.
 */
@Decision(
        name = "share-pacing",
        summary = "While other teams have requests, a team with more than its share in progress may have only a few"
                + " prompts that are not computed yet.")
public final class SharePacing {
    private static final int MAX_STARTING = 1;

    private SharePacing() {}

    /**
     * Returns whether a request has to wait even if servers have spare concurrency.
     *
     * @param info the request
     * @param requests the accepted requests of this process
     * @param weight returns the weight of a team
     */
    public static boolean throttles(
            RequestInfo info, Collection<InFlightRequest> requests, ToIntFunction<TeamId> weight) {
        Set<TeamId> teams = new HashSet<>();
        int total = 0;
        int own = 0;
        int starting = 0;
        for (InFlightRequest request : requests) {
            if (!request.info().service().equals(info.service())) {
                continue;
            }
            teams.add(request.info().team());
            if (request.isWaiting()) {
                continue;
            }
            total++;
            if (request.info().team().equals(info.team())) {
                own++;
                starting += request.started() ? 0 : 1;
            }
        }
        if (teams.size() < 2 || starting < MAX_STARTING) {
            return false;
        }
        double totalWeight = teams.stream().mapToInt(weight).sum();
        return own > total * weight.applyAsInt(info.team()) / totalWeight;
    }
}
