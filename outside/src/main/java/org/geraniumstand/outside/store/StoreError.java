package org.geraniumstand.outside.store;

/** Why a call of the store did not work. */
public enum StoreError {
    /** The store did not answer in time or refused the connection; a write may have taken effect. */
    UNAVAILABLE,
    /** The key changed since it was read. */
    CONFLICT,
    /** The lease is not held. */
    LEASE_LOST,
    /** The store no longer knows the changes that were asked for. */
    HISTORY_GONE,
    /** The store did nothing: it has too much to do or turns this process away. */
    REFUSED,
    /** The answer could not be understood. */
    MALFORMED
}
