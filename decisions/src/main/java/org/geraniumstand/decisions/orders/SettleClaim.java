package org.geraniumstand.decisions.orders;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;

/** Updates the claim of an order that has ended. */
@Decision(
        name = "settle-claim",
        summary = "A claim is settled only with its own token, and a recorded answer never changes.")
public final class SettleClaim {
    private SettleClaim() {}

    /**
     * Applies a settlement to a slot.
     *
     * @param slot the slot as stored
     * @param change the settlement
     * @param epochMillis the current wall-clock time in milliseconds since 1970
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
        ClaimState newState = stateOf(change.kind());
        boolean canSettle = claim.state() == ClaimState.CLAIMED || claim.state() == ClaimState.UNKNOWN;
        if (!canSettle || newState == claim.state()) {
            return unchanged(slot);
        }
        Claim settled = claim.withState(newState, change.answer());
        return new ChangedSlot(slot.with(settled), ClaimResult.of(ClaimResult.Kind.SETTLED, settled));
    }

    // A write of the claim may still be in flight; the changed index makes its compare-and-swap fail.
    private static ChangedSlot tombstone(ClaimSlot slot, ClaimChange change, long epochMillis) {
        Claim claim = new Claim(
                change.key(),
                change.fingerprint(),
                ClaimState.NOT_RUN,
                change.token(),
                change.holder(),
                epochMillis,
                RecordedAnswer.NONE);
        return new ChangedSlot(slot.with(claim), ClaimResult.of(ClaimResult.Kind.SETTLED, claim));
    }

    private static ChangedSlot unchanged(ClaimSlot slot) {
        return new ChangedSlot(slot, ClaimResult.of(ClaimResult.Kind.SETTLED));
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
