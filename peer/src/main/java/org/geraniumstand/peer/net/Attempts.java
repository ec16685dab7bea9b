package org.geraniumstand.peer.net;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Spaces attempts to connect: the pause doubles with each failure and is spread at random. */
final class Attempts {
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long LONGEST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int ADDRESSES_KEPT = 2_000;

    private final Random random;
    private final Map<InetSocketAddress, Failure> failures = new LinkedHashMap<>();

    private record Failure(long pauseNanos, long untilNanos) {}

    Attempts(Random random) {
        this.random = random;
    }

    boolean mayTry(InetSocketAddress address, long nowNanos) {
        Failure failure = failures.get(address);
        return failure == null || nowNanos - failure.untilNanos() >= 0;
    }

    void onFailure(InetSocketAddress address, long nowNanos) {
        Failure last = failures.remove(address);
        long pause = last == null ? FIRST_PAUSE_NANOS : Math.min(LONGEST_PAUSE_NANOS, 2 * last.pauseNanos());
        long spread = pause / 2 + (long) (random.nextDouble() * pause / 2);
        failures.put(address, new Failure(pause, nowNanos + spread));
        if (failures.size() > ADDRESSES_KEPT) {
            failures.remove(failures.keySet().iterator().next());
        }
    }

    void onSuccess(InetSocketAddress address) {
        failures.remove(address);
    }
}
