package org.geraniumstand.model.config;

/** Tells how a service is spoken to. */
public enum ServiceKind {
    /** A model engine with completions that may stream. */
    MODEL,
    /** A plain HTTP service. */
    PLAIN
}
