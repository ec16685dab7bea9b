package org.geraniumstand.decisions.orders;

/** Represents the state of an order with an idempotency key. */
public enum ClaimState {
    /** One request has claimed the order and may have dispatched it. */
    CLAIMED,
    /** The order ran and its answer is known. */
    ANSWERED,
    /** The order was never dispatched, or a backend server confirmed that it did not run. */
    NOT_RUN,
    /** The order was dispatched and its answer was lost. */
    UNKNOWN
}
