package org.geraniumstand.decisions.orders;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.decisions.Decision;

/** Removes expired claims and answer bodies from a slot, so that it fits into one value of the store. */
@Decision(
        name = "drop-old-claims",
        summary = "A slot drops claims after a day, and drops the bodies of its oldest answers when it exceeds its"
                + " maximum size.")
public final class DropOldClaims {
    /** Retention time of a claim, in milliseconds. */
    public static final long RETENTION_MILLIS = 24L * 60 * 60 * 1_000;

    /** Maximum estimated size of a slot's document, in bytes. */
    public static final int MAX_SLOT_BYTES = 900_000;

    private static final int CLAIM_BYTES = 512;

    private DropOldClaims() {}

    /**
     * Returns a slot without expired claims and, if it is too large, without the bodies of its oldest answers.
     *
     * @param slot the slot
     * @param epochMillis the current wall-clock time in milliseconds since 1970
     */
    public static ClaimSlot apply(ClaimSlot slot, long epochMillis) {
        List<Claim> retained = new ArrayList<>(slot.claims());
        retained.removeIf(claim -> epochMillis - claim.atEpochMillis() > RETENTION_MILLIS);
        int bytes = retained.stream().mapToInt(DropOldClaims::estimatedBytes).sum();
        for (int i = 0; i < retained.size() && bytes > MAX_SLOT_BYTES; i++) {
            Claim claim = retained.get(i);
            Claim trimmed = claim.withState(claim.state(), claim.answer().withoutBody());
            bytes -= estimatedBytes(claim) - estimatedBytes(trimmed);
            retained.set(i, trimmed);
        }
        return new ClaimSlot(retained);
    }

    /**
     * Returns whether a slot is too large to be written.
     *
     * @param slot the slot
     */
    public static boolean isTooLarge(ClaimSlot slot) {
        return slot.claims().stream().mapToInt(DropOldClaims::estimatedBytes).sum() > MAX_SLOT_BYTES;
    }

    private static int estimatedBytes(Claim claim) {
        return CLAIM_BYTES + claim.answer().body().length();
    }
}
