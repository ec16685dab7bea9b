package org.geraniumstand.model.timeline;

import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.HybridTime;

/**
 * Something that happened in a process.
 *
 * @param time orders events over all processes
 * @param process where it happened
 * @param kind what happened
 * @param reason the decision's summary, or empty
 * @param fields details
 */
public record TimelineEvent(HybridTime time, ProcessId process, EventKind kind, String reason, List<Field> fields) {
    /** Copies the list. */
    public TimelineEvent {
        fields = List.copyOf(fields);
    }
}
