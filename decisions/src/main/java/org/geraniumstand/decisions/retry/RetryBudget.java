package org.geraniumstand.decisions.retry;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** The retries that a service may spend. */
@Decision(
        name = "retry-budget",
        summary = "Retries are paid from a part of the successes, with a small minimum, so that failures cannot"
                + " multiply the load.")
public final class RetryBudget {
    private static final long RETRY = 100;
    private static final long MOST = 50 * RETRY;
    private static final long MINIMUM_SAVED = 5 * RETRY;
    private static final long REFILL_EVERY_MILLIS = 10_000;

    /** Saved retries in hundredths. */
    private long saved = MINIMUM_SAVED;

    private Moment filled;

    /**
     * Takes in a success.
     *
     * @param percent retries allowed in a hundred successes
     */
    public void onSuccess(int percent) {
        saved = Math.min(MOST, saved + percent);
    }

    /**
     * Spends a retry if there is one.
     *
     * @param now the time
     */
    public boolean spend(Moment now) {
        refill(now);
        if (saved < RETRY) {
            return false;
        }
        saved -= RETRY;
        return true;
    }

    private void refill(Moment now) {
        if (filled == null) {
            filled = now;
        }
        long retries = now.millisSince(filled) / REFILL_EVERY_MILLIS;
        if (retries > 0) {
            filled = now;
            saved = Math.max(saved, Math.min(MINIMUM_SAVED, saved + retries * RETRY));
        }
    }
}
