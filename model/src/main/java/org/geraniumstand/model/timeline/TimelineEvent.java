package org.geraniumstand.model.timeline;

import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.HybridTime;

/**
 * Records an event that occurred in a process.
 *
 * @param time hybrid logical timestamp, which orders events across all processes
 * @param process the process in which the event occurred
 * @param kind kind of the event
 * @param reason summary of the decision that caused the event, or empty
 * @param fields details of the event
 */
public record TimelineEvent(HybridTime time, ProcessId process, EventKind kind, String reason, List<Field> fields) {
    /** Makes a defensive copy of the list. */
    public TimelineEvent {
        fields = List.copyOf(fields);
    }
}
