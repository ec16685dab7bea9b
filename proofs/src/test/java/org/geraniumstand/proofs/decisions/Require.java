package org.geraniumstand.proofs.decisions;

/** Throws an error when a condition that must hold is violated. */
final class Require {
    private Require() {}

    // Test frameworks report an AssertionError as a failed assertion rather than as an error in the test.
    @SuppressWarnings("ThrowError")
    static void that(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
