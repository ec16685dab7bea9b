package org.geraniumstand.decisions.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The claims that one document of the store holds.
 *
 * @param claims the claims, the oldest first
 */
public record ClaimSlot(List<Claim> claims) {
    /** A slot without claims. */
    public static final ClaimSlot EMPTY = new ClaimSlot(List.of());

    /** Copies the list. */
    public ClaimSlot {
        claims = claims == null ? List.of() : List.copyOf(claims);
    }

    /**
     * Finds a claim.
     *
     * @param key digest of the team and its idempotency key
     */
    public Optional<Claim> find(String key) {
        return claims.stream().filter(c -> c.key().equals(key)).findFirst();
    }

    /**
     * Returns this slot with a claim in place of the one with the same key, if there is one.
     *
     * @param claim the claim
     */
    public ClaimSlot with(Claim claim) {
        List<Claim> next = new ArrayList<>(claims);
        next.removeIf(c -> c.key().equals(claim.key()));
        next.add(claim);
        return new ClaimSlot(next);
    }
}
