package org.geraniumstand.decisions.orders;

/** Where an order with an idempotency key stands. */
public enum ClaimState {
    /** A process may dispatch the order, or has. */
    CLAIMED,
    /** The order ran and its answer is known. */
    ANSWERED,
    /** The order was never dispatched, or a backend server vouches that it did not run. */
    NOT_RUN,
    /** The order was dispatched and its answer was lost. */
    UNKNOWN
}
