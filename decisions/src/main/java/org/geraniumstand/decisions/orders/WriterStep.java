package org.geraniumstand.decisions.orders;

/** Something that the writer of a slot wants done. */
public sealed interface WriterStep {
    /**
     * Read the slot from the store.
     *
     * @param delayMillis after how many milliseconds
     */
    record Read(long delayMillis) implements WriterStep {}

    /**
     * Write the slot if its index is still the given one.
     *
     * @param slot the new content
     * @param index the index read, zero if the slot did not exist
     */
    record Write(ClaimSlot slot, long index) implements WriterStep {}

    /**
     * Tell what became of a change.
     *
     * @param change number of the change
     * @param verdict what became of it
     */
    record Tell(long change, ClaimVerdict verdict) implements WriterStep {}
}
