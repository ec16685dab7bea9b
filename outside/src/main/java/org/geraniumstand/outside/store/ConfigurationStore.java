package org.geraniumstand.outside.store;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;

/**
 * The platform's small key-value service with compare-and-swap, leases and watches.
 *
 * <p>Calls do not block; answers arrive at the callbacks on a thread of the implementation.
 */
public interface ConfigurationStore extends AutoCloseable {
    /**
     * Reads a key.
     *
     * @param key the key
     * @param callback told the value, or nothing if the key does not exist
     */
    void read(String key, Consumer<Result<Optional<Stored>, StoreError>> callback);

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @param callback told the entries
     */
    void list(String prefix, Consumer<Result<List<Entry>, StoreError>> callback);

    /**
     * Waits until a key or prefix changes past an index.
     *
     * @param prefix the key or prefix
     * @param index the index known, zero to be told at once
     * @param callback told the entries and the new index, also when the wait ended without a change
     */
    void watch(String prefix, long index, Consumer<Result<Watched, StoreError>> callback);

    /**
     * Writes a key if its index is still the given one.
     *
     * @param key the key
     * @param value the new value
     * @param index the index known, zero if the key must not exist
     * @param callback told whether it was written; {@link StoreError#UNAVAILABLE} leaves that open
     */
    void compareAndSwap(String key, String value, long index, Consumer<Result<Boolean, StoreError>> callback);

    /**
     * Writes a key that vanishes when its lease lapses.
     *
     * @param key the key
     * @param value the new value
     * @param lease the lease
     * @param callback told whether this lease now holds the key
     */
    void acquire(String key, String value, Lease lease, Consumer<Result<Boolean, StoreError>> callback);

    /**
     * Opens a lease.
     *
     * @param ttlMillis milliseconds after which it lapses without renewal
     * @param callback told the lease
     */
    void openLease(long ttlMillis, Consumer<Result<Lease, StoreError>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param callback told the lease, or {@link StoreError#LEASE_LOST}
     */
    void renewLease(Lease lease, Consumer<Result<Lease, StoreError>> callback);

    /**
     * Ends a lease; its keys vanish.
     *
     * @param lease the lease
     * @param callback told the lease
     */
    void closeLease(Lease lease, Consumer<Result<Lease, StoreError>> callback);

    @Override
    void close();

    /**
     * A lease.
     *
     * @param id its name in the store
     */
    record Lease(String id) {}

    /**
     * A key and its value.
     *
     * @param key the key
     * @param stored the value
     */
    record Entry(String key, Stored stored) {}

    /**
     * What a watch brought.
     *
     * @param entries all entries with the prefix
     * @param index the index to watch from next
     */
    record Watched(List<Entry> entries, long index) {
        /** Copies the list. */
        public Watched {
            entries = List.copyOf(entries);
        }
    }
}
