package org.geraniumstand.decisions.routing;

/**
 * How fast the backend servers of a service and host class answer, learned from their answers.
 *
 * <p>Time to the first token grows with the prompt tokens that have to be computed; time between tokens grows with
 * the requests that share the engine. The lines are read on every choice, so they are kept worked out.
 */
public final class Pace {
    private static final double START_FIRST_MILLIS = 30;
    private static final double START_PREFILL_MILLIS = 0.2;
    private static final double START_STEP_MILLIS = 15;
    private static final double START_STEP_GROWTH_MILLIS = 1;
    private static final double PROMPT_SPREAD_TOKENS = 2_000;
    private static final double LOAD_SPREAD = 8;

    private final LinearFit first = new LinearFit(START_FIRST_MILLIS, START_PREFILL_MILLIS, PROMPT_SPREAD_TOKENS);
    private final LinearFit between = new LinearFit(START_STEP_MILLIS, START_STEP_GROWTH_MILLIS, LOAD_SPREAD);
    private double firstBase = START_FIRST_MILLIS;
    private double prefillMillis = START_PREFILL_MILLIS;
    private double stepBase = START_STEP_MILLIS;
    private double stepGrowth = START_STEP_GROWTH_MILLIS;

    /**
     * Takes in the time to a first token.
     *
     * @param tokens prompt tokens that had to be computed, those of requests in front included
     * @param millis the time, in milliseconds
     */
    public void onFirst(double tokens, double millis) {
        first.add(tokens, millis);
        firstBase = first.intercept();
        prefillMillis = first.slope();
    }

    /**
     * Takes in a time between tokens.
     *
     * @param load requests that shared the engine
     * @param millis the time, in milliseconds
     */
    public void onBetween(double load, double millis) {
        between.add(load, millis);
        stepBase = between.intercept();
        stepGrowth = between.slope();
    }

    /**
     * Returns the time to the first token, in milliseconds.
     *
     * @param tokens prompt tokens to compute
     */
    public double firstMillis(double tokens) {
        return firstBase + prefillMillis * tokens;
    }

    /**
     * Returns the time between tokens, in milliseconds.
     *
     * @param load requests that share the engine
     */
    public double betweenMillis(double load) {
        return stepBase + stepGrowth * load;
    }

    /** Returns the engine time to compute a prompt token, in milliseconds. */
    public double prefillMillis() {
        return prefillMillis;
    }

    /**
     * Returns the engine time that one more request costs a token, in milliseconds.
     *
     * <p>The first request of an idle engine pays for the whole step; later ones share it.
     *
     * @param load requests that share the engine already
     */
    public double marginalMillis(double load) {
        return load < 1 ? stepBase + stepGrowth : stepGrowth;
    }
}
