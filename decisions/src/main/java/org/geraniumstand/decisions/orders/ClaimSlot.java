package org.geraniumstand.decisions.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds the claims stored in one document of the store.
 *
 * @param claims the claims, oldest first
 */
public record ClaimSlot(List<Claim> claims) {
    /** A slot without claims. */
    public static final ClaimSlot EMPTY = new ClaimSlot(List.of());

    /** Copies the list. */
    public ClaimSlot {
        claims = claims == null ? List.of() : List.copyOf(claims);
    }

    /**
     * Returns the claim with a key, if any.
     *
     * @param key digest of the team and its idempotency key
     */
    public Optional<Claim> find(String key) {
        return claims.stream().filter(candidate -> candidate.key().equals(key)).findFirst();
    }

    /**
     * Returns this slot with a claim added; a claim with the same key is replaced.
     *
     * @param claim the claim
     */
    public ClaimSlot with(Claim claim) {
        List<Claim> newClaims = new ArrayList<>(claims);
        newClaims.removeIf(candidate -> candidate.key().equals(claim.key()));
        newClaims.add(claim);
        return new ClaimSlot(newClaims);
    }
}
