package org.geraniumstand.decisions.orders;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.decisions.Decision;

/** Decides which claims and bodies leave a slot so that it stays within the store's largest value. */
@Decision(
        name = "drop-old-claims",
        summary = "Claims leave a slot after a day; bodies of the oldest answers leave it when it grows large.")
public final class DropOldClaims {
    /** Milliseconds for which a claim is kept. */
    public static final long RETENTION_MILLIS = 24L * 60 * 60 * 1_000;

    /** Largest estimated size of a slot's document, in bytes. */
    public static final int MAX_SLOT_BYTES = 900_000;

    private static final int CLAIM_BYTES = 512;

    private DropOldClaims() {}

    /**
     * Returns a slot without what has to leave it.
     *
     * @param slot the slot
     * @param epochMillis the wall clock now, in milliseconds since 1970
     */
    public static ClaimSlot apply(ClaimSlot slot, long epochMillis) {
        List<Claim> kept = new ArrayList<>(slot.claims());
        kept.removeIf(claim -> epochMillis - claim.atEpochMillis() > RETENTION_MILLIS);
        int bytes = kept.stream().mapToInt(DropOldClaims::bytes).sum();
        for (int i = 0; i < kept.size() && bytes > MAX_SLOT_BYTES; i++) {
            Claim claim = kept.get(i);
            Claim smaller = claim.in(claim.state(), claim.answer().withoutBody());
            bytes -= bytes(claim) - bytes(smaller);
            kept.set(i, smaller);
        }
        return new ClaimSlot(kept);
    }

    /**
     * Returns whether a slot is too large to be written.
     *
     * @param slot the slot
     */
    public static boolean tooLarge(ClaimSlot slot) {
        return slot.claims().stream().mapToInt(DropOldClaims::bytes).sum() > MAX_SLOT_BYTES;
    }

    private static int bytes(Claim claim) {
        return CLAIM_BYTES + claim.answer().body().length();
    }
}
