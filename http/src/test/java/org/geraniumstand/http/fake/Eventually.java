package org.geraniumstand.http.fake;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for a condition with a generous limit. */
public final class Eventually {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long PAUSE_MILLIS = 5;

    private Eventually() {}

    /**
     * Waits.
     *
     * @param what what is waited for
     * @param condition the condition
     */
    public static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + LIMIT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("did not happen in time: " + what);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }
}
