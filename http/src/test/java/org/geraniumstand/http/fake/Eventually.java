package org.geraniumstand.http.fake;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions with a timeout of 20 seconds. */
public final class Eventually {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long PAUSE_MILLIS = 5;

    private Eventually() {}

    /**
     * Waits until a condition holds.
     *
     * @param description description of the condition for the error message
     * @param condition the condition, checked every 5 milliseconds
     */
    public static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException("condition did not hold within 20 s: " + description);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }
}
