package org.geraniumstand.entry.task;

/**
 * Describes why a configuration change was not written.
 *
 * @param kind kind of error
 * @param detail human-readable description of the error
 */
public record WriteError(Kind kind, String detail) {
    /** Kinds of errors. */
    public enum Kind {
        /** The change rejected the current document; nothing was written. */
        REFUSED,
        /** The store did not answer before anything was written. */
        STORE_UNAVAILABLE,
        /** The write was sent, but the store did not confirm whether it took effect. */
        UNSETTLED,
        /** The change conflicted with concurrent changes too many times; nothing was written. */
        TOO_MANY_CONFLICTS,
        /** A live member supports only a lower protocol level than the document requires; nothing was written. */
        LEVEL_TOO_HIGH,
        /** The document contains entries that this process does not know and would drop; nothing was written. */
        DOCUMENT_TOO_NEW,
        /** The document would exceed the maximum size of a value in the store; nothing was written. */
        TOO_LARGE
    }
}
