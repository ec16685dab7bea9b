package org.geraniumstand.outside.store;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;

/**
 * Accesses the platform's key-value store, which offers compare-and-swap, leases and watches.
 *
 * <p>Calls do not block; callbacks run on a thread of the implementation.
 */
public interface ConfigurationStore extends AutoCloseable {
    /**
     * Reads a key.
     *
     * @param key the key
     * @param callback called with the value, with an empty optional if the key does not exist, or with the error
     */
    void read(String key, Consumer<Result<Optional<StoredValue>, StoreError>> callback);

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @param callback called with the entries or the error
     */
    void list(String prefix, Consumer<Result<List<Entry>, StoreError>> callback);

    /**
     * Waits until a key or prefix has changed after an index.
     *
     * @param prefix the key or prefix
     * @param index last known index, zero to return immediately
     * @param callback called with the entries and the new index, even if the wait ended without a change, or with the
     *     error
     */
    void watch(String prefix, long index, Consumer<Result<Watched, StoreError>> callback);

    /**
     * Writes a key if its index equals the expected one.
     *
     * @param key the key
     * @param value the new value
     * @param index the expected index, zero if the key must not exist
     * @param callback called with whether the key was written, or with {@link StoreError#UNAVAILABLE} if that is
     *     unknown
     */
    void compareAndSwap(String key, String value, long index, Consumer<Result<Boolean, StoreError>> callback);

    /**
     * Acquires a key for a lease; the store deletes the key when the lease expires.
     *
     * @param key the key
     * @param value the new value
     * @param lease the lease
     * @param callback called with whether the lease holds the key, or with the error
     */
    void acquire(String key, String value, Lease lease, Consumer<Result<Boolean, StoreError>> callback);

    /**
     * Opens a lease.
     *
     * @param ttlMillis time after which the lease expires unless renewed, in milliseconds
     * @param callback called with the lease or the error
     */
    void openLease(long ttlMillis, Consumer<Result<Lease, StoreError>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param callback called with the lease, or with {@link StoreError#LEASE_LOST} if it has expired
     */
    void renewLease(Lease lease, Consumer<Result<Lease, StoreError>> callback);

    /**
     * Revokes a lease; the store deletes its keys.
     *
     * @param lease the lease
     * @param callback called with the lease or the error
     */
    void closeLease(Lease lease, Consumer<Result<Lease, StoreError>> callback);

    @Override
    void close();

    /**
     * Identifies a lease.
     *
     * @param id identifier of the lease in the store
     */
    record Lease(String id) {}

    /**
     * Holds a key and its value.
     *
     * @param key the key
     * @param storedValue the value with its index
     */
    record Entry(String key, StoredValue storedValue) {}

    /**
     * Holds the result of a watch.
     *
     * @param entries all entries with the prefix
     * @param index index after which the next watch starts
     */
    record Watched(List<Entry> entries, long index) {
        /** Makes a defensive copy of the list. */
        public Watched {
            entries = List.copyOf(entries);
        }
    }
}
