package org.geraniumstand.outside.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.store.StoreError;

/**
 * A key-value store with one revision counter over all changes, conditional writes, watches and leases.
 *
 * <p>Calls do not block; callbacks run on the thread that makes the calls.
 */
public interface RevisionStore {
    /**
     * Reads a key.
     *
     * @param key the key
     * @param callback told the item, or nothing if there is none
     */
    void read(String key, Consumer<Result<Optional<Item>, StoreError>> callback);

    /**
     * Reads all keys with a prefix; the pages it comes in are not one snapshot.
     *
     * @param prefix the prefix
     * @param callback told the items and the revision that the first page was read at
     */
    void list(String prefix, Consumer<Result<Listing, StoreError>> callback);

    /**
     * Waits for changes after a revision.
     *
     * @param prefix prefix of the keys
     * @param since the revision
     * @param waitMillis how long to wait, in milliseconds
     * @param callback told the changes, none if there were none in time; {@link StoreError#HISTORY_GONE} if the store
     *     no longer knows them
     */
    void watch(String prefix, long since, long waitMillis, Consumer<Result<Changes, StoreError>> callback);

    /**
     * Writes all or nothing.
     *
     * @param commit what is expected and what is to change
     * @param callback told the revision; {@link StoreError#CONFLICT} if something differs from what was expected,
     *     {@link StoreError#UNAVAILABLE} if it may or may not have been written
     */
    void commit(Commit commit, Consumer<Result<Long, StoreError>> callback);

    /**
     * Opens a lease.
     *
     * @param ttlMillis milliseconds after which it ends without renewal
     * @param callback told the lease's number
     */
    void openLease(long ttlMillis, Consumer<Result<Long, StoreError>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param callback told the lease's number, or {@link StoreError#LEASE_LOST}
     */
    void renewLease(long lease, Consumer<Result<Long, StoreError>> callback);

    /**
     * Ends a lease; its keys are removed.
     *
     * @param lease the lease
     * @param callback told the lease's number
     */
    void endLease(long lease, Consumer<Result<Long, StoreError>> callback);

    /**
     * A key and its value.
     *
     * @param key the key
     * @param value the bytes as text in UTF-8
     * @param revision the revision of its last change
     */
    record Item(String key, String value, long revision) {}

    /**
     * The keys with a prefix.
     *
     * @param items the items
     * @param revision revision of the store at which the first of them were read
     */
    record Listing(List<Item> items, long revision) {}

    /**
     * A change of a key.
     *
     * @param key the key
     * @param value the new text, or nothing if the key was removed
     * @param revision the revision of the change
     */
    record Change(String key, Optional<String> value, long revision) {}

    /**
     * Changes in order.
     *
     * @param changes the changes
     * @param revision the revision to wait from next
     */
    record Changes(List<Change> changes, long revision) {}

    /**
     * What a key's last revision must be for a write to take place.
     *
     * @param key the key
     * @param revision the revision, zero if the key must not exist
     */
    record Expected(String key, long revision) {}

    /**
     * A key to write.
     *
     * @param key the key
     * @param value the bytes as text in UTF-8
     * @param lease the lease that it belongs to, zero for none
     */
    record Put(String key, String value, long lease) {}

    /**
     * A write that takes place whole or not at all.
     *
     * @param expected what must hold
     * @param puts keys to write
     * @param removals keys to remove
     */
    record Commit(List<Expected> expected, List<Put> puts, List<String> removals) {
        /**
         * Writes one key.
         *
         * @param key the key
         * @param value the bytes as text in UTF-8
         * @param lease the lease that it belongs to, zero for none
         */
        public static Commit put(String key, String value, long lease) {
            return new Commit(List.of(), List.of(new Put(key, value, lease)), List.of());
        }

        /**
         * Returns this write with one more thing that must hold.
         *
         * @param key the key
         * @param revision its last revision, zero if it must not exist
         */
        public Commit expecting(String key, long revision) {
            return new Commit(List.of(new Expected(key, revision)), puts, removals);
        }
    }
}
