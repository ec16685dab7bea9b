package org.geraniumstand.peer.net;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Polls conditions until they hold or 60 seconds have passed. */
final class Await {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long PAUSE_MILLIS = 10;

    private Await() {}

    static boolean until(BooleanSupplier condition) throws InterruptedException {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > LIMIT_NANOS) {
                return false;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        return true;
    }
}
