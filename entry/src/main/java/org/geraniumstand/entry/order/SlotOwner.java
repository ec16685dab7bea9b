package org.geraniumstand.entry.order;

import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;

/** Names the usual writer of a slot. */
@FunctionalInterface
interface SlotOwner {
    /** Returns the process that usually writes a slot, or nothing without members. */
    Optional<ProcessId> of(int slot);
}
