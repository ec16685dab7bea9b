package org.geraniumstand.decisions.orders;

import java.util.Optional;

/**
 * Describes the result of a requested change of a claim.
 *
 * @param kind the kind of the result
 * @param claim the stored claim, if any
 */
public record ClaimResult(Kind kind, Optional<Claim> claim) {
    /** Specifies the kind of a result. */
    public enum Kind {
        /** The request may dispatch the order. */
        GRANTED,
        /** The order ran; its recorded answer must be replayed. */
        REPLAY,
        /** Another request holds the claim and may still receive the answer. */
        IN_FLIGHT,
        /** The order may have run; it must not be dispatched. */
        UNKNOWN,
        /** The key was used for a different request. */
        KEY_REUSED,
        /** This request abandoned its claim earlier. */
        GIVEN_UP,
        /** The settlement is recorded or no longer needed. */
        SETTLED,
        /** The slot has no space for another claim. */
        FULL,
        /** The store did not answer. */
        UNAVAILABLE
    }

    /**
     * Returns a result without a claim.
     *
     * @param kind the kind of the result
     */
    public static ClaimResult of(Kind kind) {
        return new ClaimResult(kind, Optional.empty());
    }

    /**
     * Returns a result with the stored claim.
     *
     * @param kind the kind of the result
     * @param claim the stored claim
     */
    public static ClaimResult of(Kind kind, Claim claim) {
        return new ClaimResult(kind, Optional.of(claim));
    }
}
