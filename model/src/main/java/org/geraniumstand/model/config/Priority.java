package org.geraniumstand.model.config;

/** Priority of queued requests. */
public enum Priority {
    /** A person is waiting for the answer. */
    INTERACTIVE,
    /** Background work that may be delayed. */
    BATCH
}
