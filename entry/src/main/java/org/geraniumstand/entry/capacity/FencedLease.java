package org.geraniumstand.entry.capacity;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.ConfigurationStore.Lease;
import org.geraniumstand.outside.store.StoredValue;

/**
 * Acquires and renews the lease of the process that sends orders to the cloud and to engines, with a fencing token.
 *
 * <p>The lease duration is measured on the monotonic clock from the time at which the last renewal was sent, so this
 * process stops using the lease before the store grants it to another one. A new holder increments the fencing token
 * by compare-and-swap and waits until no order of the previous holder can still arrive, which protects engines that
 * ignore fencing tokens. Source:
 * Gray and Cheriton, "Leases", 1989.
 *
 * <p>All calls and callbacks run on one thread.
 */
final class FencedLease {
    /** Milliseconds after which the store expires a lease that is not renewed. */
    static final long TTL_MILLIS = 15_000;

    /** Maximum time in milliseconds for an order to arrive. */
    static final long MAX_ORDER_MILLIS = 3_000;

    /** Milliseconds at the end of the lease that are not used, to allow for clock drift. */
    static final long CLOCK_DRIFT_MARGIN_MILLIS = 1_000;

    private final ConfigurationStore store;
    private final String key;
    private final String holder;
    private final LongSupplier nanoTime;
    private Optional<Lease> lease = Optional.empty();
    private OptionalLong fencingToken = OptionalLong.empty();
    private boolean callInFlight;
    private long lastCallNanos;
    private long usableFromNanos;
    private long usableUntilNanos;

    /**
     * Creates a lease that is not held.
     *
     * @param store platform's configuration store
     * @param key key of the lease; the fencing token is stored under this key with a suffix
     * @param holder ID of the process that acquires the lease
     * @param nanoTime returns the monotonic time in nanoseconds
     */
    FencedLease(ConfigurationStore store, String key, String holder, LongSupplier nanoTime) {
        this.store = store;
        this.key = key;
        this.holder = holder;
        this.nanoTime = nanoTime;
    }

    /** Returns the fencing token if this process may send an order now, otherwise empty. */
    OptionalLong currentFencingToken() {
        long now = nanoTime.getAsLong();
        boolean usable = now - usableFromNanos >= 0 && now - usableUntilNanos < 0;
        return fencingToken.isPresent() && usable ? fencingToken : OptionalLong.empty();
    }

    /** Opens, acquires or renews the lease, whichever is due. */
    void step() {
        long now = nanoTime.getAsLong();
        if (fencingToken.isPresent() && now - usableUntilNanos >= 0) {
            dropLease();
        }
        if (callInFlight && now - lastCallNanos < MAX_ORDER_MILLIS * Timestamp.NANOS_PER_MILLI) {
            return;
        }
        callInFlight = true;
        lastCallNanos = now;
        if (lease.isEmpty()) {
            store.openLease(TTL_MILLIS, result -> {
                lease = result.value();
                callInFlight = false;
            });
        } else if (fencingToken.isEmpty()) {
            acquire(lease.get(), now);
        } else {
            renew(lease.get(), now);
        }
    }

    private void renew(Lease held, long sentNanos) {
        store.renewLease(held, result -> {
            callInFlight = false;
            if (result.value().isPresent()) {
                extend(sentNanos);
            }
        });
    }

    private void acquire(Lease opened, long sentNanos) {
        store.renewLease(opened, renewed -> {
            if (renewed.value().isEmpty()) {
                dropLease();
                return;
            }
            store.acquire(key, holder, opened, result -> {
                if (result.value().orElse(false)) {
                    store.read(
                            key + "-fence",
                            found -> found.value()
                                    .ifPresentOrElse(
                                            stored -> incrementFencingToken(stored, sentNanos),
                                            () -> callInFlight = false));
                } else {
                    callInFlight = false;
                }
            });
        });
    }

    private void incrementFencingToken(Optional<StoredValue> stored, long sentNanos) {
        long last = stored.map(StoredValue::value).map(Long::parseLong).orElse(0L);
        long index = stored.map(StoredValue::index).orElse(0L);
        store.compareAndSwap(key + "-fence", Long.toString(last + 1), index, result -> {
            callInFlight = false;
            if (result.value().orElse(false)) {
                fencingToken = OptionalLong.of(last + 1);
                usableFromNanos = nanoTime.getAsLong() + (TTL_MILLIS + MAX_ORDER_MILLIS) * Timestamp.NANOS_PER_MILLI;
                extend(sentNanos);
            }
        });
    }

    private void extend(long sentNanos) {
        usableUntilNanos = sentNanos + (TTL_MILLIS - CLOCK_DRIFT_MARGIN_MILLIS) * Timestamp.NANOS_PER_MILLI;
    }

    private void dropLease() {
        lease = Optional.empty();
        fencingToken = OptionalLong.empty();
        callInFlight = false;
    }
}
