package org.geraniumstand.decisions.moves;

import org.geraniumstand.model.id.RouteId;

/**
 * Names of evidence rows that speak about more than attempts on a route.
 *
 * <p>They share the rows' merge and their way to the other processes. A route of the configuration never contains
 * the mark.
 */
final class EvidenceRoutes {
    private static final String MARK = "~";
    private static final String PACE = MARK + "pace";
    private static final RouteId COMPLETE = new RouteId(MARK + "complete");

    private EvidenceRoutes() {}

    /**
     * Returns the row that counts milliseconds between tokens on a route.
     *
     * @param route the route
     */
    static RouteId paceOf(RouteId route) {
        return new RouteId(route.value() + PACE);
    }

    /** Returns the row that counts processes that found a move complete. */
    static RouteId complete() {
        return COMPLETE;
    }

    /**
     * Tells whether a row counts attempts on a route of the configuration.
     *
     * @param route the row's route
     */
    static boolean countsAttempts(RouteId route) {
        return !route.value().contains(MARK);
    }
}
