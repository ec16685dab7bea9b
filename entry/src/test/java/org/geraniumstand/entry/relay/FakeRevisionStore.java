package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.store.StoreError;

/** An in-memory store that answers at once, fails while it is unavailable, and lets the test answer watches. */
final class FakeRevisionStore implements RevisionStore {
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, List<String>> leases = new HashMap<>();
    private final List<Consumer<Result<Changes, StoreError>>> watches = new ArrayList<>();
    private long revision = 100;
    private long lastLeaseId;
    private boolean unavailable;
    private long lastWatchRevision;

    void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Writes a key as another client would. */
    void write(String key, String value) {
        revision++;
        items.put(key, new Item(key, value, revision));
    }

    Optional<String> value(String key) {
        return Optional.ofNullable(items.get(key)).map(Item::value);
    }

    List<String> keys() {
        return List.copyOf(items.keySet());
    }

    /** Expires a lease and removes its keys. */
    void expire(long lease) {
        List<String> keys = leases.remove(lease);
        if (keys != null) {
            keys.forEach(items::remove);
        }
    }

    long lastLeaseId() {
        return lastLeaseId;
    }

    /** Answers the oldest pending watch. */
    void answerWatch(Result<Changes, StoreError> answer) {
        watches.remove(0).accept(answer);
    }

    /** Returns the revision from which the last watch started. */
    long lastWatchRevision() {
        return lastWatchRevision;
    }

    int pendingWatches() {
        return watches.size();
    }

    private <T> boolean failsAsUnavailable(Consumer<Result<T, StoreError>> callback) {
        if (unavailable) {
            callback.accept(Result.err(StoreError.REFUSED));
        }
        return unavailable;
    }

    @Override
    public void read(String key, Consumer<Result<Optional<Item>, StoreError>> callback) {
        if (!failsAsUnavailable(callback)) {
            callback.accept(Result.ok(Optional.ofNullable(items.get(key))));
        }
    }

    @Override
    public void list(String prefix, Consumer<Result<Listing, StoreError>> callback) {
        if (!failsAsUnavailable(callback)) {
            List<Item> found = items.values().stream()
                    .filter(item -> item.key().startsWith(prefix))
                    .toList();
            callback.accept(Result.ok(new Listing(found, revision)));
        }
    }

    @Override
    public void watch(String _prefix, long since, long _waitMillis, Consumer<Result<Changes, StoreError>> callback) {
        lastWatchRevision = since;
        watches.add(callback);
    }

    @Override
    public void commit(Commit commit, Consumer<Result<Long, StoreError>> callback) {
        if (failsAsUnavailable(callback)) {
            return;
        }
        for (Expected expected : commit.expected()) {
            Item item = items.get(expected.key());
            if ((item == null ? 0 : item.revision()) != expected.revision()) {
                callback.accept(Result.err(StoreError.CONFLICT));
                return;
            }
        }
        for (Put put : commit.puts()) {
            write(put.key(), put.value());
            if (put.lease() != 0) {
                leases.get(put.lease()).add(put.key());
            }
        }
        commit.removals().forEach(items::remove);
        callback.accept(Result.ok(revision));
    }

    @Override
    public void openLease(long _ttlMillis, Consumer<Result<Long, StoreError>> callback) {
        if (!failsAsUnavailable(callback)) {
            lastLeaseId++;
            leases.put(lastLeaseId, new ArrayList<>());
            callback.accept(Result.ok(lastLeaseId));
        }
    }

    @Override
    public void renewLease(long lease, Consumer<Result<Long, StoreError>> callback) {
        if (!failsAsUnavailable(callback)) {
            callback.accept(leases.containsKey(lease) ? Result.ok(lease) : Result.err(StoreError.LEASE_LOST));
        }
    }

    @Override
    public void endLease(long lease, Consumer<Result<Long, StoreError>> callback) {
        expire(lease);
        callback.accept(Result.ok(lease));
    }
}
