package org.geraniumstand.entry.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.outside.store.StoredValue;

/** An in-memory store that loses calls, loses responses, and applies writes after their calls have timed out. */
public final class FakeStore implements ConfigurationStore {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long LATE_EFFECT_MILLIS = 4_000;
    private static final double FAULT_KIND_SHARE = 1.0 / 3;

    private final VirtualTimer timer;
    private final Random random;
    private final Map<String, StoredValue> values = new HashMap<>();
    private final Map<String, String> owners = new HashMap<>();
    private final Set<String> leases = new HashSet<>();
    private final List<Object> lostAnswers = new ArrayList<>();
    private double faultRate;
    private boolean unavailable;
    private int callsToFail;
    private long index = 1;
    private int calls;

    public FakeStore(VirtualTimer timer, Random random) {
        this.timer = timer;
        this.random = random;
    }

    /** Sets the fraction of calls that fail. */
    public void setFaultRate(double share) {
        faultRate = share;
    }

    /** Makes the store unavailable or available. */
    public void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Fails the next {@code count} calls without a timeout. */
    public void failNext(int count) {
        callsToFail = count;
    }

    public int calls() {
        return calls;
    }

    Optional<String> value(String key) {
        return Optional.ofNullable(values.get(key)).map(StoredValue::value);
    }

    void put(String key, String value) {
        index++;
        values.put(key, new StoredValue(value, index));
    }

    /** Expires all leases. */
    void expireLeases() {
        leases.clear();
        owners.keySet().forEach(values::remove);
        owners.clear();
    }

    @Override
    public void read(String key, Consumer<Result<Optional<StoredValue>, StoreError>> callback) {
        call(() -> Result.ok(Optional.ofNullable(values.get(key))), callback);
    }

    @Override
    public void list(String prefix, Consumer<Result<List<Entry>, StoreError>> callback) {
        call(() -> Result.ok(entries(prefix)), callback);
    }

    @Override
    public void watch(String prefix, long _expectedIndex, Consumer<Result<Watched, StoreError>> callback) {
        call(() -> Result.ok(new Watched(entries(prefix), index)), callback);
    }

    @Override
    public void compareAndSwap(
            String key, String value, long expectedIndex, Consumer<Result<Boolean, StoreError>> callback) {
        call(() -> Result.ok(swap(key, value, expectedIndex)), callback);
    }

    @Override
    public void acquire(String key, String value, Lease lease, Consumer<Result<Boolean, StoreError>> callback) {
        call(
                () -> {
                    boolean held = leases.contains(lease.id());
                    if (held) {
                        put(key, value);
                        owners.put(key, lease.id());
                    }
                    return Result.ok(held);
                },
                callback);
    }

    @Override
    public void openLease(long _ttlMillis, Consumer<Result<Lease, StoreError>> callback) {
        call(
                () -> {
                    index++;
                    Lease lease = new Lease("lease-" + index);
                    leases.add(lease.id());
                    return Result.ok(lease);
                },
                callback);
    }

    @Override
    public void renewLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        call(() -> leases.contains(lease.id()) ? Result.ok(lease) : Result.err(StoreError.LEASE_LOST), callback);
    }

    @Override
    public void closeLease(Lease lease, Consumer<Result<Lease, StoreError>> callback) {
        call(
                () -> {
                    leases.remove(lease.id());
                    owners.entrySet()
                            .removeIf(e -> e.getValue().equals(lease.id()) && values.remove(e.getKey()) != null);
                    return Result.ok(lease);
                },
                callback);
    }

    @Override
    public void close() {}

    private List<Entry> entries(String prefix) {
        return values.entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix))
                .map(e -> new Entry(e.getKey(), e.getValue()))
                .toList();
    }

    private boolean swap(String key, String value, long expectedIndex) {
        long current =
                Optional.ofNullable(values.get(key)).map(StoredValue::index).orElse(0L);
        if (current != expectedIndex) {
            return false;
        }
        put(key, value);
        return true;
    }

    private <T> void call(Supplier<Result<T, StoreError>> effect, Consumer<Result<T, StoreError>> callback) {
        calls++;
        Runnable timeOut = () -> callback.accept(Result.err(StoreError.UNAVAILABLE));
        if (unavailable) {
            timer.after(timeOut, TIMEOUT_MILLIS);
            return;
        }
        if (callsToFail > 0) {
            callsToFail--;
            timer.after(timeOut, 1);
            return;
        }
        if (random.nextDouble() >= faultRate) {
            timer.after(() -> respond(effect, callback), 1 + random.nextInt(5));
            return;
        }
        timer.after(timeOut, TIMEOUT_MILLIS);
        double kind = random.nextDouble();
        if (kind < FAULT_KIND_SHARE) {
            timer.after(() -> lostAnswers.add(effect.get()), 1);
        } else if (kind < 2 * FAULT_KIND_SHARE) {
            timer.after(() -> lostAnswers.add(effect.get()), LATE_EFFECT_MILLIS);
        }
    }

    // The effect and the response are separate events, so that writes of others can occur between them.
    private <T> void respond(Supplier<Result<T, StoreError>> effect, Consumer<Result<T, StoreError>> callback) {
        Result<T, StoreError> result = effect.get();
        timer.after(() -> callback.accept(result), 1 + random.nextInt(5));
    }
}
