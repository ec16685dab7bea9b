package org.geraniumstand.model.operation;

import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.timeline.TimelineEvent;

/**
 * Events of one process.
 *
 * @param process the process
 * @param events its events, the oldest first
 * @param dropped events that no longer fitted into its memory
 */
public record TimelinePage(ProcessId process, List<TimelineEvent> events, long dropped) {
    /** Copies the list. */
    public TimelinePage {
        events = List.copyOf(events);
    }
}
