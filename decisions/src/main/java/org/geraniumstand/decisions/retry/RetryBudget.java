package org.geraniumstand.decisions.retry;

import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Moment;

/** The retries that a service may spend. */
@Decision(
        name = "retry-budget",
        summary = "Retries are paid from a part of the successes, with a small minimum, so that failures cannot"
                + " multiply the load; calls lost together with their server cost one.")
public final class RetryBudget {
    private static final long RETRY = 100;
    private static final long MOST = 50 * RETRY;
    private static final long MINIMUM_SAVED = 5 * RETRY;
    private static final long REFILL_EVERY_MILLIS = 10_000;

    /** Calls that break at one server within this time, in milliseconds, were lost with it; a crash resets all at once. */
    private static final long ONE_LOSS_MILLIS = 100;

    /** Saved retries in hundredths. */
    private long saved = MINIMUM_SAVED;

    private Moment filled;
    private final Map<ServerId, Moment> losses = new HashMap<>();

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

    /**
     * Spends a retry for a call whose connection broke; those that break together with the loss of their server cost one.
     *
     * <p>The calls that run at a server bound what its loss repeats, and a server that goes on breaking calls is paid for
     * again after a moment, so that retries stay bounded.
     *
     * @param server the server that the call ran at
     * @param now the time
     */
    public boolean spendForBreak(ServerId server, Moment now) {
        losses.values().removeIf(at -> now.millisSince(at) >= ONE_LOSS_MILLIS);
        if (losses.containsKey(server)) {
            return true;
        }
        if (!spend(now)) {
            return false;
        }
        losses.put(server, now);
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
