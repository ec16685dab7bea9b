package org.geraniumstand.decisions.moves;

/**
 * Tests sequentially whether events occur more often than a permitted rate.
 *
 * <p>The test is a mixture of CUSUM statistics, cumulative sums of log-likelihood ratios, one for each alternative
 * rate. Each sum restarts at zero, so that a long period without events does not hide a change. Under the permitted
 * rate each restart is a likelihood-ratio martingale, so the mean number of events until a false alarm is at least the
 * threshold. Sources: Page, "Continuous Inspection Schemes", Biometrika 1954; Lorden, "Procedures for Reacting to a
 * Change in Distribution", Annals of Mathematical Statistics 1971.
 */
final class SequentialTest {
    /** Odds of the alternative rates, as multiples of the permitted odds. */
    private static final double[] ODDS_RATIOS = {2, 4, 16, 64, 1024};

    /** Lower bound of the mean number of events until a false alarm. */
    private static final double AVERAGE_RUN_LENGTH = 1e5;

    private static final double THRESHOLD = Math.log(AVERAGE_RUN_LENGTH);
    private static final double MAX_RATE = 0.9;

    private final double[] sums = new double[ODDS_RATIOS.length];

    /**
     * Adds a batch of trials.
     *
     * @param trials number of trials
     * @param events number of trials in which the event occurred
     * @param permitted permitted rate of events, above 0
     */
    void add(long trials, long events, double permitted) {
        double p0 = Math.min(permitted, MAX_RATE);
        double odds = p0 / (1 - p0);
        for (int i = 0; i < sums.length; i++) {
            double p1 = odds * ODDS_RATIOS[i] / (1 + odds * ODDS_RATIOS[i]);
            double increment = events * Math.log(p1 / p0) + (trials - events) * Math.log((1 - p1) / (1 - p0));
            sums[i] = Math.max(0, sums[i] + increment);
        }
    }

    /** Returns the strength of the evidence: 0 without evidence, 1 or more once the threshold is reached. */
    double level() {
        double largest = 0;
        for (double sum : sums) {
            largest = Math.max(largest, sum);
        }
        double scaled = 0;
        for (double sum : sums) {
            scaled += Math.exp(sum - largest);
        }
        double mean = largest + Math.log(scaled / sums.length);
        return Math.max(0, mean) / THRESHOLD;
    }
}
