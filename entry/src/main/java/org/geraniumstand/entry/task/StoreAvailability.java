package org.geraniumstand.entry.task;

import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/**
 * Tracks whether the store answers and computes the backoff after failures.
 *
 * <p>The backoff doubles with each failure and has random jitter, so that many processes do not retry at the same time.
 */
public final class StoreAvailability {
    private static final Log LOG = Log.of(StoreAvailability.class);
    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 8_000;

    private final Random random;
    private final AtomicLong lastAnswerNanos;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private boolean unavailable;

    /**
     * Creates a tracker with an initial backoff.
     *
     * @param random source of the jitter
     * @param nowNanos current monotonic time in nanoseconds
     */
    public StoreAvailability(Random random, long nowNanos) {
        this.random = random;
        this.lastAnswerNanos = new AtomicLong(nowNanos);
    }

    /** Records that the store answered and resets the backoff. */
    public void onSuccess() {
        lastAnswerNanos.set(System.nanoTime());
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        if (unavailable) {
            unavailable = false;
            LOG.info("store-state", Field.of("state", "answers"));
        }
    }

    /** Records that the store did not answer and returns the backoff in milliseconds. */
    public long onFailure() {
        if (!unavailable) {
            unavailable = true;
            LOG.warn("store-state", Field.of("state", "out"));
        }
        long backoff = backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
        return jitter(backoff);
    }

    /**
     * Returns a random delay between 0.5 and 1.5 times the given one.
     *
     * @param millis mean delay in milliseconds
     */
    public long jitter(long millis) {
        return millis / 2 + (long) (random.nextDouble() * millis);
    }

    /** Returns the monotonic time in nanoseconds at which the store last answered; may be called on any thread. */
    public long lastAnswerNanos() {
        return lastAnswerNanos.get();
    }

    /** Returns whether the store answered the last call. */
    public boolean isAvailable() {
        return !unavailable;
    }
}
