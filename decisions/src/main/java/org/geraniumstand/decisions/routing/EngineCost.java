package org.geraniumstand.decisions.routing;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.RequestInfo;

/**
 * Computes the cost of sending a request to a backend server.
 *
 * <p>The unit is the hourly price of the host, in hundredths of the currency unit, multiplied by seconds of engine
 * time. Prompt tokens that are not cached at the server are charged in full; each generated token is charged the time
 * that one more request adds to an engine step. Latency above a fixed share of the target is charged as a multiple of
 * the request's own engine time. So the cheapest server that meets the target has the least cost, or the one that
 * misses it by the least if no server meets it.
 */
@Decision(
        name = "engine-cost",
        summary = "The request is sent to the server that meets the latency target at the lowest cost of engine time,"
                + " recomputation of uncached prompt tokens included.")
public final class EngineCost {
    private static final double UNCHARGED_TARGET_SHARE = 0.35;
    private static final double LATENESS_WEIGHT = 8;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double CROSS_DATA_CENTRE_MILLIS = 1;
    private static final double COMPLETION_TIME_WEIGHT = 0.01;

    private EngineCost() {}

    /**
     * Returns the cost of a request at a server.
     *
     * @param state the server
     * @param info the request
     * @param uncachedTokens prompt tokens that the server would have to compute
     * @param load requests in flight at the server
     * @param sameDataCentre whether the server is in this process's data centre
     * @param targets the latency targets
     */
    public static double of(
            ServerState state,
            RequestInfo info,
            double uncachedTokens,
            double load,
            boolean sameDataCentre,
            LatencyTargets targets) {
        LatencyModel latencyModel = state.latencyModel();
        double slowness = state.slowness();
        double price = state.server().centsPerHour() / MILLIS_PER_SECOND;
        double betweenTokens = latencyModel.betweenTokensMillis(load + 1) * slowness;
        double networkMillis = sameDataCentre ? 0 : CROSS_DATA_CENTRE_MILLIS;
        if (info.promptTokens() == 0) {
            double lateness = lateness(betweenTokens + networkMillis, targets.firstTokenMillis());
            return price * (betweenTokens + networkMillis) * (1 + LATENESS_WEIGHT * lateness);
        }
        double firstToken =
                latencyModel.firstTokenMillis(uncachedTokens + state.pendingTokens()) * slowness + networkMillis;
        double decode = info.answerTokens() * latencyModel.marginalMillisPerToken(load) * slowness;
        double engineUncached = info.promptTokens() * latencyModel.prefillMillisPerToken() + decode;
        double lateness = lateness(firstToken, targets.firstTokenMillis())
                + lateness(betweenTokens, targets.betweenTokensMillis());
        double completion = firstToken + info.answerTokens() * betweenTokens;
        double engine = uncachedTokens * latencyModel.prefillMillisPerToken() * slowness + decode;
        return price * (engine + engineUncached * LATENESS_WEIGHT * lateness + completion * COMPLETION_TIME_WEIGHT);
    }

    private static double lateness(double millis, double targetMillis) {
        return Math.max(0, millis / targetMillis - UNCHARGED_TARGET_SHARE);
    }
}
