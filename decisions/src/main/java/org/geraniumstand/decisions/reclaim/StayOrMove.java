package org.geraniumstand.decisions.reclaim;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.decisions.routing.Pace;
import org.geraniumstand.model.time.Moment;

/** Tells whether work at a leaving backend server will end there in time. */
@Decision(
        name = "stay-or-move",
        summary = "Work that will end before its server goes stays there; other work that may run twice is moved.")
public final class StayOrMove {
    /** Time before the server goes at which work must have ended there, in milliseconds. */
    public static final long MARGIN_MILLIS = 1_500;

    private static final double PREDICTION_MARGIN = 1.5;

    private StayOrMove() {}

    /**
     * Returns whether a request must be moved.
     *
     * @param flight the request
     * @param leftMillis how long its server stays, in milliseconds
     * @param now the time
     */
    public static boolean mustMove(Flight flight, long leftMillis, Moment now) {
        if (!flight.facts().idempotent()) {
            return false;
        }
        return remainingMillis(flight, now) * PREDICTION_MARGIN > leftMillis - MARGIN_MILLIS;
    }

    /**
     * Returns how long a request still takes at its server, in milliseconds.
     *
     * @param flight the request
     * @param now the time
     */
    public static double remainingMillis(Flight flight, Moment now) {
        Pace pace = flight.server().pace();
        double slow = flight.server().slowness();
        double between = pace.betweenMillis(flight.server().inFlight()) * slow;
        if (flight.facts().promptTokens() == 0) {
            return between;
        }
        double first = flight.started() ? 0 : pace.firstMillis(flight.uncached()) * slow;
        double waited = now.millisSince(flight.dispatched());
        return Math.max(0, first - waited) + flight.tokensLeft() * between;
    }
}
