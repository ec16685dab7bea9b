package org.geraniumstand.outside.store;

/** States why a call to the store failed. */
public enum StoreError {
    /** The store did not respond in time or refused the connection; a write may have taken effect. */
    UNAVAILABLE,
    /** A key has changed since it was read. */
    CONFLICT,
    /** The lease has expired or does not exist. */
    LEASE_LOST,
    /** The store has discarded the requested change history. */
    HISTORY_GONE,
    /** The store did not execute the call, for example because it is overloaded or denies access to this process. */
    REFUSED,
    /** The response could not be parsed. */
    MALFORMED
}
