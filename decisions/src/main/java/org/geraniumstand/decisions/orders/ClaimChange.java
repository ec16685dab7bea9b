package org.geraniumstand.decisions.orders;

import org.geraniumstand.model.id.ProcessId;

/**
 * Describes a requested change of a claim.
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
    /** Specifies the kind of a change. */
    public enum Kind {
        /** Claims the order for dispatch. */
        OPEN,
        /** Records the answer to the order. */
        ANSWERED,
        /** Records that the order did not run. */
        NOT_RUN,
        /** Records that the outcome of the order is unknown. */
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
