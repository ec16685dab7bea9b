package org.geraniumstand.decisions.orders;

/**
 * Holds a slot after a change, and the result of that change.
 *
 * @param slot the slot, unchanged if the change had no effect
 * @param result the result of the change
 */
public record ChangedSlot(ClaimSlot slot, ClaimResult result) {}
