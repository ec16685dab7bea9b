package org.geraniumstand.model.request;

/**
 * The final answer to a request that is not served.
 *
 * @param reason why
 * @param outcome whether the request may have run
 * @param retryAfterMillis when the caller should come back, in milliseconds; zero if coming back does not help
 */
public record Refusal(RefusalReason reason, Outcome outcome, long retryAfterMillis) {
    /**
     * Returns a refusal of a request that did not run.
     *
     * @param reason why
     * @param retryAfterMillis when the caller should come back, in milliseconds
     */
    public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refusal(reason, Outcome.NOT_RUN, retryAfterMillis);
    }

    /**
     * Returns a refusal of a request that may have run.
     *
     * @param reason why
     */
    public static Refusal unknown(RefusalReason reason) {
        return new Refusal(reason, Outcome.UNKNOWN, 0);
    }
}
