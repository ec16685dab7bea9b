package org.geraniumstand.entry.order;

import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;

/** Selects the preferred writer of a slot. */
@FunctionalInterface
interface SlotOwner {
    /** Returns the preferred writer of a slot, or empty if there are no members. */
    Optional<ProcessId> of(int slot);
}
