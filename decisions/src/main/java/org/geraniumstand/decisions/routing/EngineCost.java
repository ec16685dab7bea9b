package org.geraniumstand.decisions.routing;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.RequestFacts;

/**
 * Puts a price on sending a request to a backend server.
 *
 * <p>The unit is the price of a host in hundredths of the currency unit an hour, times seconds of its engine. Prompt
 * tokens that are not cached there are paid in full; generated tokens cost what one more request adds to each step of
 * the engine. Lateness past a comfortable part of the target is charged as a multiple of the request's own cost, so
 * that the cheapest server that meets the target wins, and the least late one if none does.
 */
@Decision(
        name = "engine-cost",
        summary = "The server is chosen that costs least in engine time and price, recomputed tokens included, among"
                + " those that meet the latency target.")
public final class EngineCost {
    private static final double COMFORTABLE = 0.35;
    private static final double LATE_WEIGHT = 8;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double OTHER_DATA_CENTRE_MILLIS = 1;
    private static final double FINISH_WEIGHT = 0.01;

    private EngineCost() {}

    /**
     * Returns the cost of a request at a server.
     *
     * @param state the server
     * @param facts the request
     * @param uncached prompt tokens that it would have to compute
     * @param load requests that it works on
     * @param near whether it is in this process's data centre
     * @param targets the latency targets
     */
    public static double of(
            ServerState state, RequestFacts facts, double uncached, double load, boolean near, Targets targets) {
        Pace pace = state.pace();
        double slow = state.slowness();
        double price = state.server().centsPerHour() / MILLIS_PER_SECOND;
        double between = pace.betweenMillis(load + 1) * slow;
        double distance = near ? 0 : OTHER_DATA_CENTRE_MILLIS;
        if (facts.promptTokens() == 0) {
            double late = late(between + distance, targets.firstMillis());
            return price * (between + distance) * (1 + LATE_WEIGHT * late);
        }
        double first = pace.firstMillis(uncached + state.pendingTokens()) * slow + distance;
        double decode = facts.answerTokens() * pace.marginalMillis(load) * slow;
        double whole = facts.promptTokens() * pace.prefillMillis() + decode;
        double late = late(first, targets.firstMillis()) + late(between, targets.betweenMillis());
        double finish = first + facts.answerTokens() * between;
        double engine = uncached * pace.prefillMillis() * slow + decode;
        return price * (engine + whole * LATE_WEIGHT * late + finish * FINISH_WEIGHT);
    }

    private static double late(double millis, double target) {
        return Math.max(0, millis / target - COMFORTABLE);
    }
}
