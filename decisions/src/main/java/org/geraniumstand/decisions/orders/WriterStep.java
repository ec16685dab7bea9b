package org.geraniumstand.decisions.orders;

/** Represents a step that the caller of {@link SlotWriter} must execute. */
public sealed interface WriterStep {
    /**
     * Reads the slot from the store.
     *
     * @param delayMillis delay before the read, in milliseconds
     */
    record Read(long delayMillis) implements WriterStep {}

    /**
     * Writes the slot if its index still matches.
     *
     * @param slot the new content
     * @param index the index that was read, zero if the slot did not exist
     */
    record Write(ClaimSlot slot, long index) implements WriterStep {}

    /**
     * Completes a change with its result.
     *
     * @param changeNumber number of the change
     * @param result the result of the change
     */
    record Complete(long changeNumber, ClaimResult result) implements WriterStep {}
}
