package org.geraniumstand.decisions.routing;

/**
 * Estimates the latency of the backend servers of a service and host class from their measured responses.
 *
 * <p>The time to the first token grows linearly with the prompt tokens to compute; the time between tokens grows
 * linearly with the requests that share the engine. Every server selection reads the coefficients, so they are cached
 * instead of being derived from the fits on each read.
 */
public final class LatencyModel {
    private static final double INITIAL_FIRST_TOKEN_MILLIS = 30;
    private static final double INITIAL_PREFILL_MILLIS_PER_TOKEN = 0.2;
    private static final double INITIAL_STEP_MILLIS = 15;
    private static final double INITIAL_STEP_MILLIS_PER_REQUEST = 1;
    private static final double INITIAL_SPREAD_TOKENS = 2_000;
    private static final double INITIAL_SPREAD_REQUESTS = 8;

    private final LinearFit firstTokenFit =
            new LinearFit(INITIAL_FIRST_TOKEN_MILLIS, INITIAL_PREFILL_MILLIS_PER_TOKEN, INITIAL_SPREAD_TOKENS);
    private final LinearFit stepFit =
            new LinearFit(INITIAL_STEP_MILLIS, INITIAL_STEP_MILLIS_PER_REQUEST, INITIAL_SPREAD_REQUESTS);
    private double firstTokenBaseMillis = INITIAL_FIRST_TOKEN_MILLIS;
    private double prefillMillisPerToken = INITIAL_PREFILL_MILLIS_PER_TOKEN;
    private double stepBaseMillis = INITIAL_STEP_MILLIS;
    private double stepMillisPerRequest = INITIAL_STEP_MILLIS_PER_REQUEST;

    /**
     * Records a measured time to the first token.
     *
     * @param tokens prompt tokens that had to be computed, including those of requests ahead in the engine's queue
     * @param millis the measured time, in milliseconds
     */
    public void recordFirstToken(double tokens, double millis) {
        firstTokenFit.add(tokens, millis);
        firstTokenBaseMillis = firstTokenFit.intercept();
        prefillMillisPerToken = firstTokenFit.slope();
    }

    /**
     * Records a measured time between tokens.
     *
     * @param load requests that shared the engine
     * @param millis the measured time, in milliseconds
     */
    public void recordBetweenTokens(double load, double millis) {
        stepFit.add(load, millis);
        stepBaseMillis = stepFit.intercept();
        stepMillisPerRequest = stepFit.slope();
    }

    /**
     * Returns the estimated time to the first token, in milliseconds.
     *
     * @param tokens prompt tokens to compute
     */
    public double firstTokenMillis(double tokens) {
        return firstTokenBaseMillis + prefillMillisPerToken * tokens;
    }

    /**
     * Returns the estimated time between tokens, in milliseconds.
     *
     * @param load requests that share the engine
     */
    public double betweenTokensMillis(double load) {
        return stepBaseMillis + stepMillisPerRequest * load;
    }

    /** Returns the engine time to compute a prompt token, in milliseconds. */
    public double prefillMillisPerToken() {
        return prefillMillisPerToken;
    }

    /**
     * Returns the engine time per generated token that one more request adds, in milliseconds.
     *
     * <p>The first request at an idle engine is charged the whole engine step; later requests share that step and are
     * charged only the increase.
     *
     * @param load requests that already share the engine
     */
    public double marginalMillisPerToken(double load) {
        return load < 1 ? stepBaseMillis + stepMillisPerRequest : stepMillisPerRequest;
    }
}
