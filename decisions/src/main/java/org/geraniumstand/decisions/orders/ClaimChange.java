package org.geraniumstand.decisions.orders;

import org.geraniumstand.model.id.ProcessId;

/**
 * A wish to change a claim.
 *
 * @param kind what is wished
 * @param key digest of the team and its idempotency key
 * @param fingerprint digest of method, path and body
 * @param token names the request that wishes to dispatch, or the one whose claim is settled
 * @param holder the process that serves that request
 * @param answer the answer, or {@link RecordedAnswer#NONE}
 */
public record ClaimChange(
        Kind kind, String key, String fingerprint, String token, ProcessId holder, RecordedAnswer answer) {
    /** What is wished. */
    public enum Kind {
        /** Dispatch the order. */
        OPEN,
        /** Record its answer. */
        ANSWERED,
        /** Record that it did not run. */
        NOT_RUN,
        /** Record that its outcome is unknown. */
        UNKNOWN
    }

    /**
     * Returns the change that settles the same claim.
     *
     * @param how answered, not run or unknown
     * @param given the answer, or {@link RecordedAnswer#NONE}
     */
    public ClaimChange settle(Kind how, RecordedAnswer given) {
        return new ClaimChange(how, key, fingerprint, token, holder, given);
    }
}
