package org.geraniumstand.proofs.process;

import java.util.function.BooleanSupplier;

/** Polls conditions until they hold or a time limit expires. */
final class Conditions {
    /** Limit for anything that the system does without further input, in milliseconds. */
    static final long LIMIT_MILLIS = 30_000;

    private static final long POLL_MILLIS = 20;

    private Conditions() {}

    static void await(String description, BooleanSupplier condition) {
        if (!holdsWithin(LIMIT_MILLIS, condition)) {
            throw new IllegalStateException("condition not met within " + LIMIT_MILLIS + " ms: " + description);
        }
    }

    static boolean holdsWithin(long millis, BooleanSupplier condition) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                return false;
            }
            pause(POLL_MILLIS);
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
