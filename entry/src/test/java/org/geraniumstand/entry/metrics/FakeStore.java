package org.geraniumstand.entry.metrics;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.outside.store.StoredValue;

/** An empty store that answers immediately, or fails all calls while it is down. */
final class FakeStore implements ConfigurationStore {
    private boolean down;

    void setDown(boolean value) {
        down = value;
    }

    @Override
    public void read(String _key, Consumer<Result<Optional<StoredValue>, StoreError>> callback) {
        answer(callback, Optional.empty());
    }

    @Override
    public void list(String _prefix, Consumer<Result<List<Entry>, StoreError>> callback) {
        answer(callback, List.of());
    }

    @Override
    public void watch(String _prefix, long index, Consumer<Result<Watched, StoreError>> callback) {
        answer(callback, new Watched(List.of(), index));
    }

    @Override
    public void compareAndSwap(
            String _key, String _value, long _index, Consumer<Result<Boolean, StoreError>> callback) {
        answer(callback, false);
    }

    @Override
    public void acquire(String _key, String _value, Lease _lease, Consumer<Result<Boolean, StoreError>> callback) {
        answer(callback, true);
    }

    @Override
    public void openLease(long _ttlMillis, Consumer<Result<Lease, StoreError>> callback) {
        answer(callback, new Lease("lease"));
    }

    @Override
    public void renewLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        answer(callback, lease);
    }

    @Override
    public void closeLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        answer(callback, lease);
    }

    @Override
    public void close() {}

    private <T> void answer(Consumer<Result<T, StoreError>> callback, T value) {
        callback.accept(down ? Result.err(StoreError.UNAVAILABLE) : Result.ok(value));
    }
}
