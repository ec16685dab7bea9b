package org.geraniumstand.entry.task;

/**
 * Why a change of the configuration was not accepted.
 *
 * @param kind the kind of error
 * @param detail what was wrong, for people
 */
public record WriteError(Kind kind, String detail) {
    /** Kinds of errors. */
    public enum Kind {
        /** The change itself refused the document that it found; nothing was written. */
        REFUSED,
        /** The store did not answer before anything was written. */
        STORE_UNAVAILABLE,
        /** The change was sent, and the store did not tell whether it took effect. */
        UNSETTLED,
        /** Other changes came first again and again; nothing was written. */
        TOO_MANY_CONFLICTS,
        /** A live member speaks too low a protocol level for the document; nothing was written. */
        LEVEL_TOO_HIGH,
        /** The document holds entries that this process does not know and would lose; nothing was written. */
        DOCUMENT_TOO_NEW,
        /** The document would be larger than a value of the store may be; nothing was written. */
        TOO_LARGE
    }
}
