package org.geraniumstand.proofs.process;

import java.util.function.BooleanSupplier;

/** Waits for conditions. */
final class Conditions {
    /** Generous limit for anything that the system does by itself, in milliseconds. */
    static final long LIMIT_MILLIS = 30_000;

    private static final long PAUSE_MILLIS = 20;

    private Conditions() {}

    static void await(String what, BooleanSupplier condition) {
        if (!holdsWithin(LIMIT_MILLIS, condition)) {
            throw new IllegalStateException("not seen within " + LIMIT_MILLIS + " ms: " + what);
        }
    }

    static boolean holdsWithin(long millis, BooleanSupplier condition) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                return false;
            }
            pause(PAUSE_MILLIS);
        }
        return true;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
