package org.geraniumstand.decisions.orders;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;

/** Decides whether a request may dispatch an order. */
@Decision(
        name = "open-claim",
        summary = "An order is dispatched only by the one request whose claim stands in the store.")
public final class OpenClaim {
    private OpenClaim() {}

    /**
     * Applies a wish to dispatch.
     *
     * @param slot the slot as the store holds it
     * @param wish the wish
     * @param epochMillis the wall clock now, in milliseconds since 1970
     */
    public static ChangedSlot apply(ClaimSlot slot, ClaimChange wish, long epochMillis) {
        Optional<Claim> found = slot.find(wish.key());
        if (found.isEmpty()) {
            return grant(slot, wish, epochMillis);
        }
        Claim claim = found.get();
        if (claim.token().equals(wish.token())) {
            return new ChangedSlot(slot, ClaimVerdict.of(ownVerdict(claim.state()), claim));
        }
        if (claim.state() == ClaimState.NOT_RUN) {
            return grant(slot, wish, epochMillis);
        }
        if (!claim.fingerprint().equals(wish.fingerprint())) {
            return new ChangedSlot(slot, ClaimVerdict.of(ClaimVerdict.Kind.KEY_REUSED, claim));
        }
        return new ChangedSlot(slot, ClaimVerdict.of(otherVerdict(claim.state()), claim));
    }

    private static ChangedSlot grant(ClaimSlot slot, ClaimChange wish, long epochMillis) {
        Claim claim = new Claim(
                wish.key(),
                wish.fingerprint(),
                ClaimState.CLAIMED,
                wish.token(),
                wish.holder(),
                epochMillis,
                RecordedAnswer.NONE);
        return new ChangedSlot(slot.with(claim), ClaimVerdict.of(ClaimVerdict.Kind.GRANTED, claim));
    }

    // A write whose answer was lost is recognized here by its own token.
    private static ClaimVerdict.Kind ownVerdict(ClaimState state) {
        return switch (state) {
            case CLAIMED -> ClaimVerdict.Kind.GRANTED;
            case ANSWERED -> ClaimVerdict.Kind.REPLAY;
            case NOT_RUN -> ClaimVerdict.Kind.GIVEN_UP;
            case UNKNOWN -> ClaimVerdict.Kind.UNKNOWN;
        };
    }

    private static ClaimVerdict.Kind otherVerdict(ClaimState state) {
        return switch (state) {
            case CLAIMED -> ClaimVerdict.Kind.IN_FLIGHT;
            case ANSWERED -> ClaimVerdict.Kind.REPLAY;
            case NOT_RUN -> ClaimVerdict.Kind.GRANTED;
            case UNKNOWN -> ClaimVerdict.Kind.UNKNOWN;
        };
    }
}
