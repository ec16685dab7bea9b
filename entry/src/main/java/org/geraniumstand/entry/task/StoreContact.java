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
public final class StoreContact {
    private static final Log LOG = Log.of(StoreContact.class);
    private static final long FIRST_PAUSE_MILLIS = 250;
    private static final long LONGEST_PAUSE_MILLIS = 8_000;

    private final Random random;
    private final AtomicLong lastAnswerNanos;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean out;

    /**
     * Creates a tracker with an initial backoff.
     *
     * @param random source of the jitter
     * @param nowNanos current monotonic time in nanoseconds
     */
    public StoreContact(Random random, long nowNanos) {
        this.random = random;
        this.lastAnswerNanos = new AtomicLong(nowNanos);
    }

    /** Records that the store answered and resets the backoff. */
    public void onAnswer() {
        lastAnswerNanos.set(System.nanoTime());
        pauseMillis = FIRST_PAUSE_MILLIS;
        if (out) {
            out = false;
            LOG.info("store-state", Field.of("state", "answers"));
        }
    }

    /** Records that the store did not answer and returns the backoff in milliseconds. */
    public long onFailure() {
        if (!out) {
            out = true;
            LOG.warn("store-state", Field.of("state", "out"));
        }
        long pause = pauseMillis;
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        return spread(pause);
    }

    /**
     * Returns a random delay between 0.5 and 1.5 times the given one.
     *
     * @param millis mean delay in milliseconds
     */
    public long spread(long millis) {
        return millis / 2 + (long) (random.nextDouble() * millis);
    }

    /** Returns the monotonic time in nanoseconds at which the store last answered; may be called on any thread. */
    public long lastAnswerNanos() {
        return lastAnswerNanos.get();
    }

    /** Returns whether the store answered the last call. */
    public boolean answers() {
        return !out;
    }
}
