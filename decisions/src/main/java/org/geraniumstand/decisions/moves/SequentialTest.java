package org.geraniumstand.decisions.moves;

/**
 * Tests one event after the other whether events are more frequent than they may be.
 *
 * <p>A mixture of cumulative sums of log-likelihood ratios, one for each alternative rate, each restarted at zero, so
 * that good times in the past do not hide a change. Under the permitted rate each restart is a likelihood-ratio
 * martingale, so the mean number of events until a false alarm is at least the threshold. Sources: Page,
 * "Continuous Inspection Schemes", Biometrika 1954; Lorden, "Procedures for Reacting to a Change in Distribution",
 * Annals of Mathematical Statistics 1971.
 */
final class SequentialTest {
    /** Odds of the alternatives, as multiples of the odds that are permitted. */
    private static final double[] ODDS_RATIOS = {2, 4, 16, 64, 1024};

    /** Mean number of events until a false alarm, at least. */
    private static final double FALSE_ALARM_DISTANCE = 1e5;

    private static final double THRESHOLD = Math.log(FALSE_ALARM_DISTANCE);
    private static final double MAX_RATE = 0.9;

    private final double[] sums = new double[ODDS_RATIOS.length];

    /**
     * Takes in a batch of trials.
     *
     * @param trials number of trials
     * @param events number of trials with the event
     * @param permitted rate of events that is permitted, above 0
     */
    void add(long trials, long events, double permitted) {
        double p0 = Math.min(permitted, MAX_RATE);
        double odds = p0 / (1 - p0);
        for (int i = 0; i < sums.length; i++) {
            double p1 = odds * ODDS_RATIOS[i] / (1 + odds * ODDS_RATIOS[i]);
            double gain = events * Math.log(p1 / p0) + (trials - events) * Math.log((1 - p1) / (1 - p0));
            sums[i] = Math.max(0, sums[i] + gain);
        }
    }

    /** Returns how far the evidence has come: 0 for none, 1 and above for proof. */
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
