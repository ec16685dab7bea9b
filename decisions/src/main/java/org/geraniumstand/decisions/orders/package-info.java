/**
 * Decides what the claim of an order permits; correctness relies on the compare-and-swap of the slot that stores it.
 */
package org.geraniumstand.decisions.orders;
