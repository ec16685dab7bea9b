package org.geraniumstand.entry.capacity;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.ConfigurationStore.Lease;
import org.geraniumstand.outside.store.StoredValue;

/**
 * Holds the lease of whoever gives orders to the cloud and to engines, with a fencing number.
 *
 * <p>The lease counts from the moment at which its last renewal was sent, on the monotonic clock, so it is given up
 * here before the store gives it to somebody else. A new holder gets a larger fencing number by compare-and-swap and
 * waits until no order of the holder before can still arrive; that covers engines that ignore fencing numbers. Source:
 * Gray and Cheriton, "Leases", 1989.
 *
 * <p>All calls and callbacks come on one thread.
 */
final class FencedLease {
    /** Milliseconds after which the store ends a lease that is not renewed. */
    static final long TTL_MILLIS = 15_000;

    /** Longest time that an order may be on its way, in milliseconds. */
    static final long ORDER_MILLIS = 3_000;

    /** Part of the lease's time that is not used, for clocks that run at different rates, in milliseconds. */
    static final long MARGIN_MILLIS = 1_000;

    private final ConfigurationStore store;
    private final String key;
    private final String holder;
    private final LongSupplier nanoTime;
    private Optional<Lease> lease = Optional.empty();
    private OptionalLong fence = OptionalLong.empty();
    private boolean calling;
    private long calledNanos;
    private long usableFromNanos;
    private long usableUntilNanos;

    /**
     * Creates a lease that is not held.
     *
     * @param store the platform's store
     * @param key key of the lease; the fencing number is kept beside it
     * @param holder the process that wants it
     * @param nanoTime the monotonic clock
     */
    FencedLease(ConfigurationStore store, String key, String holder, LongSupplier nanoTime) {
        this.store = store;
        this.key = key;
        this.holder = holder;
        this.nanoTime = nanoTime;
    }

    /** Returns the fencing number if an order may be sent at this very moment. */
    OptionalLong fenceNow() {
        long now = nanoTime.getAsLong();
        boolean usable = now - usableFromNanos >= 0 && now - usableUntilNanos < 0;
        return fence.isPresent() && usable ? fence : OptionalLong.empty();
    }

    /** Takes the next step: opens, acquires or renews the lease. */
    void step() {
        long now = nanoTime.getAsLong();
        if (fence.isPresent() && now - usableUntilNanos >= 0) {
            lose();
        }
        if (calling && now - calledNanos < ORDER_MILLIS * Timestamp.NANOS_PER_MILLI) {
            return;
        }
        calling = true;
        calledNanos = now;
        if (lease.isEmpty()) {
            store.openLease(TTL_MILLIS, result -> {
                lease = result.value();
                calling = false;
            });
        } else if (fence.isEmpty()) {
            acquire(lease.get(), now);
        } else {
            renew(lease.get(), now);
        }
    }

    private void renew(Lease held, long sentNanos) {
        store.renewLease(held, result -> {
            calling = false;
            if (result.value().isPresent()) {
                extend(sentNanos);
            }
        });
    }

    private void acquire(Lease opened, long sentNanos) {
        store.renewLease(opened, renewed -> {
            if (renewed.value().isEmpty()) {
                lose();
                return;
            }
            store.acquire(key, holder, opened, result -> {
                if (result.value().orElse(false)) {
                    store.read(
                            key + "-fence",
                            found -> found.value()
                                    .ifPresentOrElse(stored -> raise(stored, sentNanos), () -> calling = false));
                } else {
                    calling = false;
                }
            });
        });
    }

    private void raise(Optional<StoredValue> stored, long sentNanos) {
        long last = stored.map(StoredValue::value).map(Long::parseLong).orElse(0L);
        long index = stored.map(StoredValue::index).orElse(0L);
        store.compareAndSwap(key + "-fence", Long.toString(last + 1), index, result -> {
            calling = false;
            if (result.value().orElse(false)) {
                fence = OptionalLong.of(last + 1);
                usableFromNanos = nanoTime.getAsLong() + (TTL_MILLIS + ORDER_MILLIS) * Timestamp.NANOS_PER_MILLI;
                extend(sentNanos);
            }
        });
    }

    private void extend(long sentNanos) {
        usableUntilNanos = sentNanos + (TTL_MILLIS - MARGIN_MILLIS) * Timestamp.NANOS_PER_MILLI;
    }

    private void lose() {
        lease = Optional.empty();
        fence = OptionalLong.empty();
        calling = false;
    }
}
