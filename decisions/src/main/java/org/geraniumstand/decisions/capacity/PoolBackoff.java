package org.geraniumstand.decisions.capacity;

import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.time.Timestamp;

/** Applies exponential back-off to pools that refuse host starts. */
@Decision(
        name = "pool-backoff",
        summary = "A pool that refuses a host start is retried after a delay that doubles with each refusal.")
public final class PoolBackoff {
    private static final long INITIAL_DELAY_MILLIS = 15_000;
    private static final long MAX_DELAY_MILLIS = 480_000;
    private static final int MAX_DOUBLINGS = 16;

    private final Map<HostPool, Backoff> backoffs = new HashMap<>();

    private record Backoff(int refusals, Timestamp until) {}

    /**
     * Records that a pool refused a start, and starts or doubles its back-off; ignores refusals during the back-off.
     *
     * @param pool the pool
     * @param now the current time
     */
    public void onRefused(HostPool pool, Timestamp now) {
        Backoff last = backoffs.get(pool);
        if (last != null && now.millisSince(last.until()) < 0) {
            return;
        }
        int refusals = last == null ? 1 : last.refusals() + 1;
        long delayMillis = Math.min(MAX_DELAY_MILLIS, INITIAL_DELAY_MILLIS << Math.min(MAX_DOUBLINGS, refusals - 1));
        Timestamp until =
                new Timestamp(now.nanos() + delayMillis * Timestamp.NANOS_PER_MILLI, now.epochMillis() + delayMillis);
        backoffs.put(pool, new Backoff(refusals, until));
    }

    /**
     * Records that a pool started a host, and resets its back-off.
     *
     * @param pool the pool
     */
    public void onStarted(HostPool pool) {
        backoffs.remove(pool);
    }

    /**
     * Returns whether a pool is not backing off, so that a start may be requested from it.
     *
     * @param pool the pool
     * @param now the current time
     */
    public boolean mayRequest(HostPool pool, Timestamp now) {
        Backoff last = backoffs.get(pool);
        return last == null || now.millisSince(last.until()) >= 0;
    }
}
