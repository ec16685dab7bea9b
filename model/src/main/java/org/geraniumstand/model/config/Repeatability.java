package org.geraniumstand.model.config;

/** States whether a call of a route may be sent to backend servers more than once. */
public enum Repeatability {
    /** Several executions of the call have the same effect as one. */
    IDEMPOTENT,
    /** The call must be executed at most once. */
    AT_MOST_ONCE
}
