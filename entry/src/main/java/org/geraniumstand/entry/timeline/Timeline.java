package org.geraniumstand.entry.timeline;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.HybridTime;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.model.timeline.TimelineEvent;

/**
 * Stores the most recent events of a process in bounded memory.
 *
 * <p>Events of requests have separate ring buffers, so that high traffic does not evict state events such as a
 * configuration change. Their fields are built only when they are read.
 */
public final class Timeline {
    /** Maximum number of events about the process, its configuration, its peers and its backend servers. */
    public static final int STATE_EVENTS = 4_096;

    /** Maximum number of events about refused or retried requests. */
    public static final int EXCEPTION_EVENTS = 2_048;

    /** Maximum number of other events about requests. */
    public static final int REQUEST_EVENTS = 8_192;

    /** Maximum number of events that a process hands over at shutdown. */
    public static final int HANDOVER_EVENTS = 512;

    /** Maximum number of events received from stopped processes. */
    public static final int IMPORTED_EVENTS = 4_096;

    private static final Comparator<TimelineEvent> ORDER = Comparator.comparing(TimelineEvent::time);

    private final ProcessId self;
    private final HybridClock clock;
    private final RingBuffer<TimelineEvent> states = new RingBuffer<>(STATE_EVENTS);
    private final RingBuffer<TimelineEvent> imported = new RingBuffer<>(IMPORTED_EVENTS);
    private final RingBuffer<RequestEvent> exceptions = new RingBuffer<>(EXCEPTION_EVENTS);
    private final RingBuffer<RequestEvent> requests = new RingBuffer<>(REQUEST_EVENTS);

    /**
     * Creates the timeline of a process.
     *
     * @param self ID of the process
     * @param clock timestamps events
     */
    public Timeline(ProcessId self, HybridClock clock) {
        this.self = self;
        this.clock = clock;
    }

    /**
     * Adds an event about the process, its configuration, its peers or its backend servers.
     *
     * @param kind kind of event
     * @param reason summary of the decision, or empty
     * @param fields details of the event
     */
    public void recordEvent(EventKind kind, String reason, List<Field> fields) {
        states.add(new TimelineEvent(clock.next(), self, kind, reason, fields));
    }

    /**
     * Adds an event about a request.
     *
     * @param kind kind of event
     * @param reason summary of the decision, or empty
     * @param fields builds the details when the event is read
     */
    public void recordRequestEvent(EventKind kind, String reason, Supplier<List<Field>> fields) {
        boolean exception = kind == EventKind.REQUEST_REFUSED || kind == EventKind.REQUEST_RETRIED;
        (exception ? exceptions : requests).add(new RequestEvent(clock.next(), kind, reason, fields));
    }

    /**
     * Imports the events of a stopping process, so that they remain readable after its end.
     *
     * @param events events of the stopping process
     */
    public void importEvents(List<TimelineEvent> events) {
        for (TimelineEvent event : events) {
            clock.merge(event.time());
            imported.add(event);
        }
    }

    /** Returns the events that this process hands over at shutdown, oldest first. */
    public List<TimelineEvent> handoverEvents() {
        Stream<TimelineEvent> requestExceptions =
                exceptions.entries().stream().map(event -> event.toTimelineEvent(self));
        List<TimelineEvent> events = Stream.concat(states.entries().stream(), requestExceptions)
                .sorted(ORDER)
                .toList();
        return events.subList(Math.max(0, events.size() - HANDOVER_EVENTS), events.size());
    }

    /**
     * Returns the events since a time, oldest first.
     *
     * @param epochMillis earliest time of the events, in milliseconds since 1970
     * @param withRequests whether to include events of requests that were neither refused nor retried
     */
    public List<TimelineEvent> since(long epochMillis, boolean withRequests) {
        return all(withRequests)
                .filter(event -> event.time().epochMillis() >= epochMillis)
                .sorted(ORDER)
                .toList();
    }

    /**
     * Returns the events about a request, oldest first.
     *
     * @param request request ID of this process or of the caller
     */
    public List<TimelineEvent> eventsFor(String request) {
        List<String> requestIds = all(true)
                .filter(event -> refersTo(event, request))
                .flatMap(event -> event.fields().stream())
                .filter(field -> field.name().equals(TimelineListener.REQUEST))
                .map(Field::value)
                .distinct()
                .toList();
        return all(true)
                .filter(event -> requestIds.stream().anyMatch(requestId -> refersTo(event, requestId)))
                .sorted(ORDER)
                .toList();
    }

    /** Returns the number of evicted events of this process. */
    public long dropped() {
        return states.dropped() + exceptions.dropped() + requests.dropped();
    }

    private Stream<TimelineEvent> all(boolean withRequests) {
        List<RequestEvent> ordinary = withRequests ? requests.entries() : List.of();
        Stream<RequestEvent> ofRequests = Stream.concat(exceptions.entries().stream(), ordinary.stream());
        Stream<TimelineEvent> own =
                Stream.concat(states.entries().stream(), ofRequests.map(e -> e.toTimelineEvent(self)));
        return Stream.concat(imported.entries().stream(), own);
    }

    private static boolean refersTo(TimelineEvent event, String request) {
        return event.fields().stream()
                .filter(field -> field.name().equals(TimelineListener.REQUEST)
                        || field.name().equals(TimelineListener.CALLER_REQUEST))
                .anyMatch(field -> field.value().equals(request));
    }

    private record RequestEvent(HybridTime time, EventKind kind, String reason, Supplier<List<Field>> fields) {
        private TimelineEvent toTimelineEvent(ProcessId self) {
            return new TimelineEvent(time, self, kind, reason, fields.get());
        }
    }
}
