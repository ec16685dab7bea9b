package org.geraniumstand.decisions.moves;

import org.geraniumstand.model.id.RouteId;

/**
 * Names evidence rows that do not count attempts on a configured route.
 *
 * <p>These rows use the same merge and the same transport as the rows of routes. The name of a configured route never
 * contains the separator.
 */
final class PseudoRoutes {
    private static final String SEPARATOR = "~";
    private static final String INTER_TOKEN_SUFFIX = SEPARATOR + "pace";
    private static final String FIRST_BYTE_SUFFIX = SEPARATOR + "first";
    private static final int BASE_PROMPT_TOKENS = 256;
    private static final RouteId COMPLETION = new RouteId(SEPARATOR + "complete");

    private PseudoRoutes() {}

    /**
     * Returns the row that counts the inter-token latency on a route, in milliseconds.
     *
     * @param route the configured route
     */
    static RouteId interTokenLatencyOf(RouteId route) {
        return new RouteId(route.value() + INTER_TOKEN_SUFFIX);
    }

    /**
     * Returns the row that counts the time to first byte of requests with a similar number of uncached prompt tokens.
     *
     * <p>The new version's servers start with empty prefix caches, so only requests of similar prefill cost are
     * comparable.
     *
     * @param route the configured route
     * @param uncachedTokens prompt tokens that the engine had to compute
     */
    static RouteId timeToFirstByteOf(RouteId route, int uncachedTokens) {
        int baseSizes = Math.max(0, uncachedTokens) / BASE_PROMPT_TOKENS;
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(baseSizes);
        return new RouteId(route.value() + FIRST_BYTE_SUFFIX + doublings);
    }

    /**
     * Returns whether a row counts inter-token latency.
     *
     * @param route the route of the row
     */
    static boolean countsInterTokenLatency(RouteId route) {
        return route.value().endsWith(INTER_TOKEN_SUFFIX);
    }

    /** Returns the row that counts processes that found a move complete. */
    static RouteId completion() {
        return COMPLETION;
    }

    /**
     * Returns whether a row counts attempts on a configured route.
     *
     * @param route the route of the row
     */
    static boolean countsAttempts(RouteId route) {
        return !route.value().contains(SEPARATOR);
    }
}
