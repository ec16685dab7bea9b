package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.StoreEra;
import org.geraniumstand.outside.store.StoreError;

/** An in-memory store that answers at once, fails while it is unavailable, and lets the test answer watches. */
final class FakeRevisionStore implements RevisionStore {
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<StoreLease, List<String>> leases = new HashMap<>();
    private final List<Consumer<Result<Changes, StoreError>>> watches = new ArrayList<>();
    private final StoreEra era = new StoreEra();
    private long revision = 100;
    private StoreLease lastLease = StoreLease.NONE;
    private final List<Commit> delayedCommits = new ArrayList<>();
    private String delayedPrefix = "";
    private boolean unavailable;
    private StoreRevision lastWatchRevision = StoreRevision.NONE;

    void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Writes a key as another client would. */
    void write(String key, String value) {
        revision++;
        items.put(key, new Item(key, value, revision()));
    }

    /** Returns a revision of a store that states no era. */
    static StoreRevision at(long number) {
        return new StoreRevision(StoreRevision.UNKNOWN_ERA, number);
    }

    /** Holds the state of the store at a moment. */
    record Copy(Map<String, String> values, long revision) {}

    /** States an era in all further answers. */
    void startEra(long number) {
        era.onReported(number);
    }

    /** Returns a copy of the state, without the keys of leases. */
    Copy copy() {
        Map<String, String> values = new TreeMap<>();
        items.forEach((key, item) -> values.put(key, item.value()));
        leases.values().forEach(keys -> keys.forEach(values::remove));
        return new Copy(values, revision);
    }

    /** Restores a copy, which begins the next era; all leases are lost. */
    void restore(Copy copy) {
        items.clear();
        leases.clear();
        revision = copy.revision();
        long next = era.latest() + 1;
        copy.values().forEach((key, value) -> items.put(key, new Item(key, value, new StoreRevision(next, revision))));
        era.onReported(next);
    }

    /** Leaves the next commit that writes a key with a prefix without an answer until it is executed. */
    void delayCommit(String prefix) {
        delayedPrefix = prefix;
    }

    /** Executes the delayed commits if their conditions hold. */
    void executeDelayedCommits() {
        List<Commit> due = List.copyOf(delayedCommits);
        delayedCommits.clear();
        due.forEach(commit -> commit(commit, _result -> {}));
    }

    private boolean isDelayed(Commit commit) {
        boolean delayed = !delayedPrefix.isEmpty()
                && commit.puts().stream().anyMatch(put -> put.key().startsWith(delayedPrefix));
        if (delayed) {
            delayedPrefix = "";
            delayedCommits.add(commit);
        }
        return delayed;
    }

    private StoreRevision revision() {
        return new StoreRevision(era.latest(), revision);
    }

    @Override
    public StoreEra era() {
        return era;
    }

    /** Replaces the items by older ones, assigns revisions again from an earlier one, loses the leases and begins an era. */
    void restore(long newEra, long oldRevision, Map<String, String> oldItems) {
        items.clear();
        leases.clear();
        revision = oldRevision;
        oldItems.forEach((key, value) -> items.put(key, new Item(key, value, new StoreRevision(newEra, oldRevision))));
        era.onReported(newEra);
    }

    Optional<String> value(String key) {
        return Optional.ofNullable(items.get(key)).map(Item::value);
    }

    List<String> keys() {
        return List.copyOf(items.keySet());
    }

    /** Expires a lease and removes its keys. */
    void expire(StoreLease lease) {
        List<String> keys = leases.remove(lease);
        if (keys != null) {
            keys.forEach(items::remove);
        }
    }

    StoreLease lastLease() {
        return lastLease;
    }

    /** Answers the oldest pending watch. */
    void answerWatch(Result<Changes, StoreError> answer) {
        watches.remove(0).accept(answer);
    }

    /** Returns the revision from which the last watch started. */
    StoreRevision lastWatchRevision() {
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
            callback.accept(Result.ok(new Listing(found, revision())));
        }
    }

    @Override
    public void watch(
            String _prefix, StoreRevision since, long _waitMillis, Consumer<Result<Changes, StoreError>> callback) {
        lastWatchRevision = since;
        watches.add(callback);
    }

    @Override
    public void commit(Commit commit, Consumer<Result<StoreRevision, StoreError>> callback) {
        if (failsAsUnavailable(callback)) {
            return;
        }
        if (isDelayed(commit)) {
            callback.accept(Result.err(StoreError.UNAVAILABLE));
            return;
        }
        for (Expected expected : commit.expected()) {
            Item item = items.get(expected.key());
            StoreRevision current = item == null ? StoreRevision.NONE : item.revision();
            if (!current.equals(expected.revision())) {
                callback.accept(Result.err(StoreError.CONFLICT));
                return;
            }
        }
        for (Put put : commit.puts()) {
            write(put.key(), put.value());
            if (!put.lease().equals(StoreLease.NONE)) {
                leases.get(put.lease()).add(put.key());
            }
        }
        commit.removals().forEach(items::remove);
        callback.accept(Result.ok(revision()));
    }

    @Override
    public void openLease(long _ttlMillis, Consumer<Result<StoreLease, StoreError>> callback) {
        if (!failsAsUnavailable(callback)) {
            lastLease = new StoreLease(era.latest(), lastLease.id() + 1);
            leases.put(lastLease, new ArrayList<>());
            callback.accept(Result.ok(lastLease));
        }
    }

    @Override
    public void renewLease(StoreLease lease, Consumer<Result<StoreLease, StoreError>> callback) {
        if (!failsAsUnavailable(callback)) {
            callback.accept(leases.containsKey(lease) ? Result.ok(lease) : Result.err(StoreError.LEASE_LOST));
        }
    }

    @Override
    public void endLease(StoreLease lease, Consumer<Result<StoreLease, StoreError>> callback) {
        expire(lease);
        callback.accept(Result.ok(lease));
    }
}
