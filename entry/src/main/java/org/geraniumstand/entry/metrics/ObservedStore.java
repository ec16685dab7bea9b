package org.geraniumstand.entry.metrics;

import com.codahale.metrics.Counter;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.outside.store.StoredValue;

/** Counts the calls to a store and reports when the store becomes reachable or unreachable. */
public final class ObservedStore implements ConfigurationStore {
    private final ConfigurationStore store;
    private final Consumer<State> onChange;
    private final Counter calls;
    private final Counter failures;
    private final AtomicReference<State> state = new AtomicReference<>(State.UNKNOWN);

    /** Reachability of the store. */
    public enum State {
        /** No call has completed yet. */
        UNKNOWN,
        /** The last call was answered. */
        REACHABLE,
        /** The last call was not answered. */
        UNREACHABLE
    }

    /**
     * Wraps a store.
     *
     * @param store store to wrap
     * @param metrics registry for the counters
     * @param onChange receives the new state when the store becomes reachable or unreachable; must not block
     */
    public ObservedStore(ConfigurationStore store, ProcessMetrics metrics, Consumer<State> onChange) {
        this.store = store;
        this.onChange = onChange;
        this.calls = metrics.registry().counter("geraniumstand_store_calls_total");
        this.failures = metrics.registry().counter("geraniumstand_store_failures_total");
    }

    /** Returns the reachability of the store. */
    public State state() {
        return state.get();
    }

    @Override
    public void read(String key, Consumer<Result<Optional<StoredValue>, StoreError>> callback) {
        store.read(key, counted(callback));
    }

    @Override
    public void list(String prefix, Consumer<Result<List<Entry>, StoreError>> callback) {
        store.list(prefix, counted(callback));
    }

    @Override
    public void watch(String prefix, long index, Consumer<Result<Watched, StoreError>> callback) {
        store.watch(prefix, index, counted(callback));
    }

    @Override
    public void compareAndSwap(String key, String value, long index, Consumer<Result<Boolean, StoreError>> callback) {
        store.compareAndSwap(key, value, index, counted(callback));
    }

    @Override
    public void acquire(String key, String value, Lease lease, Consumer<Result<Boolean, StoreError>> callback) {
        store.acquire(key, value, lease, counted(callback));
    }

    @Override
    public void openLease(long ttlMillis, Consumer<Result<Lease, StoreError>> callback) {
        store.openLease(ttlMillis, counted(callback));
    }

    @Override
    public void renewLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        store.renewLease(lease, counted(callback));
    }

    @Override
    public void closeLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        store.closeLease(lease, counted(callback));
    }

    @Override
    public void close() {
        store.close();
    }

    private <T> Consumer<Result<T, StoreError>> counted(Consumer<Result<T, StoreError>> callback) {
        calls.inc();
        return result -> {
            boolean failed = result.error()
                    .filter(error -> error == StoreError.UNAVAILABLE)
                    .isPresent();
            if (failed) {
                failures.inc();
            }
            State next = failed ? State.UNREACHABLE : State.REACHABLE;
            if (state.getAndSet(next) != next) {
                onChange.accept(next);
            }
            callback.accept(result);
        };
    }
}
