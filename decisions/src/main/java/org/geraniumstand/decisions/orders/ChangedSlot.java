package org.geraniumstand.decisions.orders;

/**
 * A slot after a change, and what became of the wish.
 *
 * @param slot the slot, the same as before if nothing changed
 * @param verdict what became of the wish
 */
public record ChangedSlot(ClaimSlot slot, ClaimVerdict verdict) {}
