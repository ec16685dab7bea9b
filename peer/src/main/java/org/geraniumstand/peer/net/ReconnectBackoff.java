package org.geraniumstand.peer.net;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Delays reconnection attempts to an address by exponential backoff with random jitter. */
final class ReconnectBackoff {
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MAX_ADDRESSES = 2_000;

    private final Random random;
    private final Map<InetSocketAddress, Failure> failures = new LinkedHashMap<>();

    private record Failure(long backoffNanos, long retryAtNanos) {}

    ReconnectBackoff(Random random) {
        this.random = random;
    }

    boolean mayConnect(InetSocketAddress address, long nowNanos) {
        Failure failure = failures.get(address);
        return failure == null || nowNanos - failure.retryAtNanos() >= 0;
    }

    void onFailure(InetSocketAddress address, long nowNanos) {
        Failure last = failures.remove(address);
        long backoff = last == null ? INITIAL_BACKOFF_NANOS : Math.min(MAX_BACKOFF_NANOS, 2 * last.backoffNanos());
        long jittered = backoff / 2 + (long) (random.nextDouble() * backoff / 2);
        failures.put(address, new Failure(backoff, nowNanos + jittered));
        if (failures.size() > MAX_ADDRESSES) {
            failures.remove(failures.keySet().iterator().next());
        }
    }

    void onSuccess(InetSocketAddress address) {
        failures.remove(address);
    }
}
