package org.geraniumstand.proofs.decisions;

/** States what must hold. */
final class Require {
    private Require() {}

    // Test frameworks report an AssertionError as a failed check.
    @SuppressWarnings("ThrowError")
    static void that(boolean holds, String otherwise) {
        if (!holds) {
            throw new AssertionError(otherwise);
        }
    }
}
