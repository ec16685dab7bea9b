package org.geraniumstand.decisions.orders;

import java.util.Optional;

/**
 * What became of a wish to change a claim.
 *
 * @param kind what became of it
 * @param claim the claim that stands, if any
 */
public record ClaimVerdict(Kind kind, Optional<Claim> claim) {
    /** What became of a wish. */
    public enum Kind {
        /** The request that asked may dispatch the order. */
        GRANTED,
        /** The order ran; its recorded answer is to be given. */
        REPLAY,
        /** Another request holds the claim and may still bring the answer. */
        IN_FLIGHT,
        /** The order may have run; it must not be dispatched. */
        UNKNOWN,
        /** The key was used for another request. */
        KEY_REUSED,
        /** This request gave its claim up before. */
        GIVEN_UP,
        /** The settlement is recorded or no longer matters. */
        SETTLED,
        /** The slot has no room for another claim. */
        FULL,
        /** The store did not answer. */
        UNAVAILABLE
    }

    /**
     * Returns a verdict without a claim.
     *
     * @param kind what became of the wish
     */
    public static ClaimVerdict of(Kind kind) {
        return new ClaimVerdict(kind, Optional.empty());
    }

    /**
     * Returns a verdict on a claim.
     *
     * @param kind what became of the wish
     * @param claim the claim that stands
     */
    public static ClaimVerdict of(Kind kind, Claim claim) {
        return new ClaimVerdict(kind, Optional.of(claim));
    }
}
