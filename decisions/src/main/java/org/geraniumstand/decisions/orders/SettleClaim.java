package org.geraniumstand.decisions.orders;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;

/** Decides how the end of an order changes its claim. */
@Decision(
        name = "settle-claim",
        summary = "A claim is settled only by its own token, and a recorded answer never changes.")
public final class SettleClaim {
    private SettleClaim() {}

    /**
     * Applies a settlement.
     *
     * @param slot the slot as the store holds it
     * @param change the settlement
     * @param epochMillis the wall clock now, in milliseconds since 1970
     */
    public static ChangedSlot apply(ClaimSlot slot, ClaimChange change, long epochMillis) {
        Optional<Claim> found = slot.find(change.key());
        if (found.isEmpty()) {
            return change.kind() == ClaimChange.Kind.NOT_RUN ? tombstone(slot, change, epochMillis) : unchanged(slot);
        }
        Claim claim = found.get();
        if (!claim.token().equals(change.token())) {
            boolean bothNotRun = claim.state() == ClaimState.NOT_RUN && change.kind() == ClaimChange.Kind.NOT_RUN;
            return bothNotRun ? tombstone(slot, change, epochMillis) : unchanged(slot);
        }
        ClaimState next = stateOf(change.kind());
        boolean open = claim.state() == ClaimState.CLAIMED || claim.state() == ClaimState.UNKNOWN;
        if (!open || next == claim.state()) {
            return unchanged(slot);
        }
        Claim settled = claim.in(next, change.answer());
        return new ChangedSlot(slot.with(settled), ClaimVerdict.of(ClaimVerdict.Kind.SETTLED, settled));
    }

    // A write of the claim may still be on its way; the changed index makes it fail.
    private static ChangedSlot tombstone(ClaimSlot slot, ClaimChange change, long epochMillis) {
        Claim claim = new Claim(
                change.key(),
                change.fingerprint(),
                ClaimState.NOT_RUN,
                change.token(),
                change.holder(),
                epochMillis,
                RecordedAnswer.NONE);
        return new ChangedSlot(slot.with(claim), ClaimVerdict.of(ClaimVerdict.Kind.SETTLED, claim));
    }

    private static ChangedSlot unchanged(ClaimSlot slot) {
        return new ChangedSlot(slot, ClaimVerdict.of(ClaimVerdict.Kind.SETTLED));
    }

    private static ClaimState stateOf(ClaimChange.Kind kind) {
        return switch (kind) {
            case OPEN -> ClaimState.CLAIMED;
            case ANSWERED -> ClaimState.ANSWERED;
            case NOT_RUN -> ClaimState.NOT_RUN;
            case UNKNOWN -> ClaimState.UNKNOWN;
        };
    }
}
