/** Decides what a claim of an order allows; safety rests on compare-and-swap of the slot that holds the claim. */
package org.geraniumstand.decisions.orders;
