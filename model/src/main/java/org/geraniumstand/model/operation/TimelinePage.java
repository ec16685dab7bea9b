package org.geraniumstand.model.operation;

import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.timeline.TimelineEvent;

/**
 * Lists the timeline events of one process.
 *
 * @param process the process that recorded the events
 * @param events the events, oldest first
 * @param dropped number of events discarded because the event buffer was full
 */
public record TimelinePage(ProcessId process, List<TimelineEvent> events, long dropped) {
    /** Makes a defensive copy of the list. */
    public TimelinePage {
        events = List.copyOf(events);
    }
}
