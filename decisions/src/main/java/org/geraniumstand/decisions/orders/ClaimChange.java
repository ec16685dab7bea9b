package org.geraniumstand.decisions.orders;

import org.geraniumstand.model.id.ProcessId;

/**
 * A requested change of a claim.
 *
 * @param kind the kind of the change
 * @param key digest of the team and its idempotency key
 * @param fingerprint digest of method, path and body
 * @param token identifies the request that wants to dispatch the order or whose claim is settled
 * @param holder the process that serves that request
 * @param answer the answer, or {@link RecordedAnswer#NONE}
 */
public record ClaimChange(
        Kind kind, String key, String fingerprint, String token, ProcessId holder, RecordedAnswer answer) {
    /** The kind of a change. */
    public enum Kind {
        /** Claim the order in order to dispatch it. */
        OPEN,
        /** Record the answer of the order. */
        ANSWERED,
        /** Record that the order did not run. */
        NOT_RUN,
        /** Record that the outcome of the order is unknown. */
        UNKNOWN
    }

    /**
     * Returns the change that settles the same claim.
     *
     * @param newKind answered, not run or unknown
     * @param newAnswer the answer, or {@link RecordedAnswer#NONE}
     */
    public ClaimChange settle(Kind newKind, RecordedAnswer newAnswer) {
        return new ClaimChange(newKind, key, fingerprint, token, holder, newAnswer);
    }
}
