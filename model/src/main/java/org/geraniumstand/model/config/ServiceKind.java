package org.geraniumstand.model.config;

/** Protocol of a service's backend servers. */
public enum ServiceKind {
    /** Model engines that serve completions, optionally as streams. */
    MODEL,
    /** Plain HTTP servers. */
    PLAIN
}
