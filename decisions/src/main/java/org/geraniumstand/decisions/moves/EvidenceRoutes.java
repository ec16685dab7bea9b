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
    private static final String FIRST_BYTE = MARK + "first";
    private static final int SMALLEST_PROMPT_TOKENS = 256;
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

    /**
     * Returns the row that counts times to the first byte of requests that compute about as many tokens of the prompt.
     *
     * <p>The new version's servers start with empty prefix caches, so only like requests can be compared.
     *
     * @param route the route
     * @param uncachedTokens tokens of the prompt that the engine had to compute
     */
    static RouteId firstByteOf(RouteId route, int uncachedTokens) {
        int size = Math.max(0, uncachedTokens) / SMALLEST_PROMPT_TOKENS;
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(size);
        return new RouteId(route.value() + FIRST_BYTE + doublings);
    }

    /**
     * Tells whether a row counts milliseconds between tokens.
     *
     * @param route the row's route
     */
    static boolean countsPace(RouteId route) {
        return route.value().endsWith(PACE);
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
