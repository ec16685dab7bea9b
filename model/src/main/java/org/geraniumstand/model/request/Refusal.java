package org.geraniumstand.model.request;

/**
 * Describes the final response to a request that is not served.
 *
 * @param reason why the request is refused
 * @param outcome whether the request may have been executed
 * @param retryAfterMillis delay after which the caller should retry, in milliseconds; zero if a retry does not help
 */
public record Refusal(RefusalReason reason, Outcome outcome, long retryAfterMillis) {
    /**
     * Returns a refusal of a request that was not executed.
     *
     * @param reason why the request is refused
     * @param retryAfterMillis delay after which the caller should retry, in milliseconds
     */
    public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refusal(reason, Outcome.NOT_RUN, retryAfterMillis);
    }

    /**
     * Returns a refusal of a request that may have been executed.
     *
     * @param reason why the request is refused
     */
    public static Refusal unknown(RefusalReason reason) {
        return new Refusal(reason, Outcome.UNKNOWN, 0);
    }
}
