package org.geraniumstand.model.relay;

/**
 * Identifies a lease in the store.
 *
 * <p>A restoration of the store loses leases, and the store may assign their numbers again.
 *
 * @param era era of the store in which the lease was opened
 * @param id number of the lease; zero for none
 */
public record StoreLease(long era, long id) {
    /** Stands for the absence of a lease. */
    public static final StoreLease NONE = new StoreLease(StoreRevision.UNKNOWN_ERA, 0);
}
