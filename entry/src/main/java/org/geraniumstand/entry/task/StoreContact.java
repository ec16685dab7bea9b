package org.geraniumstand.entry.task;

import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/**
 * Knows when the store last answered and how long to wait after it did not.
 *
 * <p>The pause doubles with each failure and is spread at random, so that many processes do not return at once.
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
     * Creates a contact.
     *
     * @param random spreads the pauses
     * @param nowNanos the monotonic time in nanoseconds
     */
    public StoreContact(Random random, long nowNanos) {
        this.random = random;
        this.lastAnswerNanos = new AtomicLong(nowNanos);
    }

    /** Notes that the store answered. */
    public void onAnswer() {
        lastAnswerNanos.set(System.nanoTime());
        pauseMillis = FIRST_PAUSE_MILLIS;
        if (out) {
            out = false;
            LOG.info("store-state", Field.of("state", "answers"));
        }
    }

    /** Notes that the store did not answer and returns how long to wait, in milliseconds. */
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
     * Spreads a delay at random, between half and all of it and a half more.
     *
     * @param millis the delay in milliseconds
     */
    public long spread(long millis) {
        return millis / 2 + (long) (random.nextDouble() * millis);
    }

    /** Returns when the store last answered, on the monotonic clock in nanoseconds; any thread may ask. */
    public long lastAnswerNanos() {
        return lastAnswerNanos.get();
    }

    /** Returns whether the last call was answered. */
    public boolean answers() {
        return !out;
    }
}
