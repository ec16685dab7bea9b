package org.geraniumstand.entry.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.outside.store.StoredValue;

/** An in-memory store whose leases expire by a clock that the test advances. */
final class FakeStore implements ConfigurationStore {
    private final LongSupplier nanoTime;
    private final Map<String, StoredValue> values = new HashMap<>();
    private final Map<String, Lease> holders = new HashMap<>();
    private final Map<Lease, Long> expiries = new HashMap<>();
    private boolean unavailable;
    private long ttlNanos;
    private long index;

    FakeStore(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    private boolean alive(Lease lease) {
        return expiries.getOrDefault(lease, Long.MIN_VALUE) > nanoTime.getAsLong();
    }

    @Override
    public void read(String key, Consumer<Result<Optional<StoredValue>, StoreError>> callback) {
        callback.accept(
                unavailable ? Result.err(StoreError.UNAVAILABLE) : Result.ok(Optional.ofNullable(values.get(key))));
    }

    @Override
    public void list(String _prefix, Consumer<Result<List<Entry>, StoreError>> callback) {
        callback.accept(Result.err(StoreError.UNAVAILABLE));
    }

    @Override
    public void watch(String _prefix, long _expectedIndex, Consumer<Result<Watched, StoreError>> callback) {
        callback.accept(Result.err(StoreError.UNAVAILABLE));
    }

    @Override
    public void compareAndSwap(
            String key, String value, long expectedIndex, Consumer<Result<Boolean, StoreError>> callback) {
        if (unavailable) {
            callback.accept(Result.err(StoreError.UNAVAILABLE));
            return;
        }
        long held = Optional.ofNullable(values.get(key)).map(StoredValue::index).orElse(0L);
        if (held == expectedIndex) {
            values.put(key, new StoredValue(value, ++index));
        }
        callback.accept(Result.ok(held == expectedIndex));
    }

    @Override
    public void acquire(String key, String value, Lease lease, Consumer<Result<Boolean, StoreError>> callback) {
        if (unavailable) {
            callback.accept(Result.err(StoreError.UNAVAILABLE));
            return;
        }
        Lease holder = holders.get(key);
        boolean free = holder == null || holder.equals(lease) || !alive(holder);
        if (free && alive(lease)) {
            holders.put(key, lease);
            values.put(key, new StoredValue(value, ++index));
        }
        callback.accept(Result.ok(free && alive(lease)));
    }

    @Override
    public void openLease(long ttlMillis, Consumer<Result<Lease, StoreError>> callback) {
        if (unavailable) {
            callback.accept(Result.err(StoreError.UNAVAILABLE));
            return;
        }
        ttlNanos = ttlMillis * Timestamp.NANOS_PER_MILLI;
        Lease lease = new Lease("lease-" + ++index);
        expiries.put(lease, nanoTime.getAsLong() + ttlNanos);
        callback.accept(Result.ok(lease));
    }

    @Override
    public void renewLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        if (unavailable) {
            callback.accept(Result.err(StoreError.UNAVAILABLE));
        } else if (!alive(lease)) {
            callback.accept(Result.err(StoreError.LEASE_LOST));
        } else {
            expiries.put(lease, nanoTime.getAsLong() + ttlNanos);
            callback.accept(Result.ok(lease));
        }
    }

    @Override
    public void closeLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        expiries.remove(lease);
        callback.accept(Result.ok(lease));
    }

    @Override
    public void close() {
        // Nothing to close.
    }
}
