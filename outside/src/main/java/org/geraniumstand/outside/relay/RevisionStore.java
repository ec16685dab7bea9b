package org.geraniumstand.outside.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.store.StoreError;

/**
 * Accesses a key-value store with a global revision counter, conditional writes, watches and leases.
 *
 * <p>Calls do not block; callbacks run on the thread that sends the requests. An answer from before a restoration of the
 * store that is already known fails with {@link StoreError#UNAVAILABLE}.
 */
public interface RevisionStore {
    /** Returns the era of the store, as far as this process knows it. */
    StoreEra era();

    /**
     * Reads a key.
     *
     * @param key the key
     * @param callback called with the item, with an empty optional if the key does not exist, or with the error
     */
    void read(String key, Consumer<Result<Optional<Item>, StoreError>> callback);

    /**
     * Reads all keys with a prefix, page by page; the pages do not form a consistent snapshot.
     *
     * @param prefix the prefix
     * @param callback called with the items and the store revision of the first page, or with the error
     */
    void list(String prefix, Consumer<Result<Listing, StoreError>> callback);

    /**
     * Waits for changes after a revision.
     *
     * @param prefix prefix of the keys
     * @param since revision after which changes are returned
     * @param waitMillis maximum wait for a change, in milliseconds
     * @param callback called with the changes, which are empty if none occurred in time, or with
     *     {@link StoreError#HISTORY_GONE} if the store has compacted the changes after the revision or was restored since
     */
    void watch(String prefix, StoreRevision since, long waitMillis, Consumer<Result<Changes, StoreError>> callback);

    /**
     * Writes and removes keys atomically if all expected revisions match.
     *
     * @param commit the expected revisions and the changes
     * @param callback called with the new revision, with {@link StoreError#CONFLICT} if an expected revision does not
     *     match, or with {@link StoreError#UNAVAILABLE} if it is unknown whether the commit took effect
     */
    void commit(Commit commit, Consumer<Result<StoreRevision, StoreError>> callback);

    /**
     * Opens a lease.
     *
     * @param ttlMillis time after which the lease expires unless renewed, in milliseconds
     * @param callback called with the lease or the error
     */
    void openLease(long ttlMillis, Consumer<Result<StoreLease, StoreError>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param callback called with the lease, or with {@link StoreError#LEASE_LOST} if the lease has expired or the store
     *     was restored since the lease was opened
     */
    void renewLease(StoreLease lease, Consumer<Result<StoreLease, StoreError>> callback);

    /**
     * Revokes a lease; the store removes its keys.
     *
     * @param lease the lease
     * @param callback called with the lease or the error
     */
    void endLease(StoreLease lease, Consumer<Result<StoreLease, StoreError>> callback);

    /**
     * Holds a key and its value.
     *
     * @param key the key
     * @param value the value, decoded as UTF-8
     * @param revision store revision of its last change
     */
    record Item(String key, String value, StoreRevision revision) {}

    /**
     * Holds the keys with a prefix.
     *
     * @param items the items
     * @param revision store revision at which the first page was read
     */
    record Listing(List<Item> items, StoreRevision revision) {}

    /**
     * Describes a change of a key.
     *
     * @param key the key
     * @param value the new value, or an empty optional if the key was removed
     * @param revision store revision of the change
     */
    record Change(String key, Optional<String> value, StoreRevision revision) {}

    /**
     * Holds changes in the order of their revisions.
     *
     * @param changes the changes
     * @param revision revision after which the next watch starts
     */
    record Changes(List<Change> changes, StoreRevision revision) {}

    /**
     * States the revision that a key must have for a commit to take effect.
     *
     * @param key the key
     * @param revision the expected revision of the key's last change, {@link StoreRevision#NONE} if the key must not exist
     */
    record Expected(String key, StoreRevision revision) {}

    /**
     * Describes a key to write.
     *
     * @param key the key
     * @param value the value, decoded as UTF-8
     * @param lease the lease that the key is attached to, {@link StoreLease#NONE} for none
     */
    record Put(String key, String value, StoreLease lease) {}

    /**
     * Describes an atomic conditional write.
     *
     * @param expected expected revisions; if one does not match, nothing is written
     * @param puts keys to write
     * @param removals keys to remove
     */
    record Commit(List<Expected> expected, List<Put> puts, List<String> removals) {
        /**
         * Returns an unconditional write of one key.
         *
         * @param key the key
         * @param value the value, decoded as UTF-8
         * @param lease the lease that the key is attached to, {@link StoreLease#NONE} for none
         */
        public static Commit put(String key, String value, StoreLease lease) {
            return new Commit(List.of(), List.of(new Put(key, value, lease)), List.of());
        }

        /**
         * Returns a copy of this write that expects only the given revision; earlier expectations are dropped.
         *
         * @param key the key
         * @param revision the expected revision of the key's last change, {@link StoreRevision#NONE} if the key must not
         *     exist
         */
        public Commit expecting(String key, StoreRevision revision) {
            return new Commit(List.of(new Expected(key, revision)), puts, removals);
        }
    }
}
