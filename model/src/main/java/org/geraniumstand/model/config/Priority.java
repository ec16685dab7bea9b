package org.geraniumstand.model.config;

/** Order in which waiting work is served. */
public enum Priority {
    /** A person waits for the answer. */
    INTERACTIVE,
    /** Nobody waits; the work may be delayed. */
    BATCH
}
