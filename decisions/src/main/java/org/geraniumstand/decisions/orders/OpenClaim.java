package org.geraniumstand.decisions.orders;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;

/** Decides whether a request may dispatch an order. */
@Decision(name = "open-claim", summary = "Only the request whose claim is in the store dispatches the order.")
public final class OpenClaim {
    private OpenClaim() {}

    /**
     * Applies a change of kind {@link ClaimChange.Kind#OPEN} to a slot.
     *
     * @param slot the slot as stored
     * @param change the change
     * @param epochMillis the current wall-clock time in milliseconds since 1970
     */
    public static ChangedSlot apply(ClaimSlot slot, ClaimChange change, long epochMillis) {
        Optional<Claim> found = slot.find(change.key());
        if (found.isEmpty()) {
            return grant(slot, change, epochMillis);
        }
        Claim claim = found.get();
        if (claim.token().equals(change.token())) {
            return new ChangedSlot(slot, ClaimResult.of(resultForOwnToken(claim.state()), claim));
        }
        if (claim.state() == ClaimState.NOT_RUN) {
            return grant(slot, change, epochMillis);
        }
        if (!claim.fingerprint().equals(change.fingerprint())) {
            return new ChangedSlot(slot, ClaimResult.of(ClaimResult.Kind.KEY_REUSED, claim));
        }
        return new ChangedSlot(slot, ClaimResult.of(resultForOtherToken(claim.state()), claim));
    }

    private static ChangedSlot grant(ClaimSlot slot, ClaimChange change, long epochMillis) {
        Claim claim = new Claim(
                change.key(),
                change.fingerprint(),
                ClaimState.CLAIMED,
                change.token(),
                change.holder(),
                epochMillis,
                RecordedAnswer.NONE);
        return new ChangedSlot(slot.with(claim), ClaimResult.of(ClaimResult.Kind.GRANTED, claim));
    }

    // The token identifies a claim that this request wrote earlier and whose response was lost.
    private static ClaimResult.Kind resultForOwnToken(ClaimState state) {
        return switch (state) {
            case CLAIMED -> ClaimResult.Kind.GRANTED;
            case ANSWERED -> ClaimResult.Kind.REPLAY;
            case NOT_RUN -> ClaimResult.Kind.GIVEN_UP;
            case UNKNOWN -> ClaimResult.Kind.UNKNOWN;
        };
    }

    private static ClaimResult.Kind resultForOtherToken(ClaimState state) {
        return switch (state) {
            case CLAIMED -> ClaimResult.Kind.IN_FLIGHT;
            case ANSWERED -> ClaimResult.Kind.REPLAY;
            case NOT_RUN -> ClaimResult.Kind.GRANTED;
            case UNKNOWN -> ClaimResult.Kind.UNKNOWN;
        };
    }
}
