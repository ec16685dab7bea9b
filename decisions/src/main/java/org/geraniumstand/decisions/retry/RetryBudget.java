package org.geraniumstand.decisions.retry;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** The retries that a service may spend. */
@Decision(
        name = "retry-budget",
        summary = "Retries are paid from a part of the successes, with a small minimum, so that failures cannot"
                + " multiply the load.")
public final class RetryBudget {
    private static final double MOST = 50;
    private static final double MINIMUM_EACH_SECOND = 0.1;
    private static final double MINIMUM_SAVED = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private double saved = MINIMUM_SAVED;
    private Moment filled;

    /**
     * Takes in a success.
     *
     * @param percent retries allowed in a hundred successes
     */
    public void onSuccess(int percent) {
        saved = Math.min(MOST, saved + percent / 100.0);
    }

    /**
     * Spends a retry if there is one.
     *
     * @param now the time
     */
    public boolean spend(Moment now) {
        refill(now);
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }

    private void refill(Moment now) {
        if (filled != null && saved < MINIMUM_SAVED) {
            double seconds = (now.nanos() - filled.nanos()) / NANOS_PER_SECOND;
            saved = Math.min(MINIMUM_SAVED, saved + seconds * MINIMUM_EACH_SECOND);
        }
        filled = now;
    }
}
