package org.geraniumstand.model.config;

/** Tells whether a call of a route may reach backend servers more than once. */
public enum Repeatability {
    /** Repeating the call has the effect of one call. */
    IDEMPOTENT,
    /** The call must run at most once. */
    AT_MOST_ONCE
}
