package org.geraniumstand.entry.operator;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.platform.store.ConfigurationStore;
import org.geraniumstand.platform.store.StoreError;
import org.geraniumstand.platform.store.Stored;

/** A store with one value that answers at once and can be down or lose answers. */
final class FakeStore implements ConfigurationStore {
    private Optional<Stored> stored = Optional.empty();
    private Runnable beforeWrite = () -> {};
    private boolean down;
    private boolean losesAnswers;
    private boolean dropsWrites;

    /** Runs something once, right before the next write. */
    void beforeNextWrite(Runnable task) {
        beforeWrite = task;
    }

    void takeDown() {
        down = true;
    }

    /** Lets writes take effect but loses their answers. */
    void loseAnswers() {
        losesAnswers = true;
    }

    /** Loses writes before they take effect. */
    void dropWrites() {
        dropsWrites = true;
    }

    void put(String text) {
        stored = Optional.of(new Stored(text, stored.map(Stored::index).orElse(0L) + 1));
    }

    String text() {
        return stored.map(Stored::value).orElse("");
    }

    @Override
    public void read(String _key, Consumer<Result<Optional<Stored>, StoreError>> callback) {
        callback.accept(down ? Result.err(StoreError.UNAVAILABLE) : Result.ok(stored));
    }

    @Override
    public void list(String _prefix, Consumer<Result<List<Entry>, StoreError>> callback) {
        callback.accept(Result.err(StoreError.UNAVAILABLE));
    }

    @Override
    public void watch(String _prefix, long _index, Consumer<Result<Watched, StoreError>> callback) {
        callback.accept(Result.err(StoreError.UNAVAILABLE));
    }

    @Override
    public void compareAndSwap(String _key, String value, long index, Consumer<Result<Boolean, StoreError>> callback) {
        Runnable task = beforeWrite;
        beforeWrite = () -> {};
        task.run();
        boolean matches = stored.map(Stored::index).orElse(0L) == index;
        if (matches && !dropsWrites) {
            put(value);
        }
        callback.accept(losesAnswers || dropsWrites ? Result.err(StoreError.UNAVAILABLE) : Result.ok(matches));
    }

    @Override
    public void acquire(String _key, String _value, Lease _lease, Consumer<Result<Boolean, StoreError>> callback) {
        callback.accept(Result.err(StoreError.UNAVAILABLE));
    }

    @Override
    public void openLease(long _ttlMillis, Consumer<Result<Lease, StoreError>> callback) {
        callback.accept(Result.err(StoreError.UNAVAILABLE));
    }

    @Override
    public void renewLease(Lease _lease, Consumer<Result<Lease, StoreError>> callback) {
        callback.accept(Result.err(StoreError.UNAVAILABLE));
    }

    @Override
    public void closeLease(Lease _lease, Consumer<Result<Lease, StoreError>> callback) {
        callback.accept(Result.err(StoreError.UNAVAILABLE));
    }

    @Override
    public void close() {}
}
