package org.geraniumstand.decisions.reclaim;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.decisions.routing.LatencyModel;
import org.geraniumstand.model.time.Timestamp;

/** Decides whether a request at a draining backend server must be migrated or can finish there in time. */
@Decision(
        name = "stay-or-move",
        summary =
                "A request stays at a draining server if it is expected to finish in time or must run at most once; any"
                        + " other request is migrated.")
public final class MigrationRule {
    /** Safety margin before the server stops by which a request must have finished, in milliseconds. */
    public static final long SAFETY_MARGIN_MILLIS = 1_500;

    private static final double ESTIMATE_SAFETY_FACTOR = 1.5;

    private MigrationRule() {}

    /**
     * Returns whether a request must be migrated; a request that must run at most once never is.
     *
     * @param request the request in flight
     * @param millisUntilServerStops time until its server stops, in milliseconds
     * @param now the current time
     */
    public static boolean mustMigrate(InFlightRequest request, long millisUntilServerStops, Timestamp now) {
        if (!request.info().idempotent()) {
            return false;
        }
        return remainingMillis(request, now) * ESTIMATE_SAFETY_FACTOR > millisUntilServerStops - SAFETY_MARGIN_MILLIS;
    }

    /**
     * Returns the estimated time until a request finishes at its server, in milliseconds.
     *
     * @param request the request in flight
     * @param now the current time
     */
    public static double remainingMillis(InFlightRequest request, Timestamp now) {
        LatencyModel latency = request.server().latencyModel();
        double slowdownFactor = request.server().slowness();
        double tokenMillis = latency.betweenTokensMillis(request.server().inFlight()) * slowdownFactor;
        if (request.info().promptTokens() == 0) {
            // For plain services, the latency model records the whole response time in place of the token interval.
            return tokenMillis;
        }
        double firstTokenMillis =
                request.started() ? 0 : latency.firstTokenMillis(request.uncachedTokens()) * slowdownFactor;
        double elapsedMillis = now.millisSince(request.dispatchedAt());
        return Math.max(0, firstTokenMillis - elapsedMillis) + request.remainingTokens() * tokenMillis;
    }
}
