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
 * Keeps the newest events of one process in bounded memory.
 *
 * <p>Events of single requests have rings of their own, so that a busy minute does not push out when a configuration
 * came into force. They are written out only when somebody reads them.
 */
public final class Timeline {
    /** Events kept about the process, its configuration, its peers and its backend servers. */
    public static final int STATE_EVENTS = 4_096;

    /** Events kept about requests that were refused or repeated. */
    public static final int EXCEPTION_EVENTS = 2_048;

    /** Events kept about single requests. */
    public static final int REQUEST_EVENTS = 8_192;

    /** Events that a process hands to another one when it stops. */
    public static final int LEGACY_EVENTS = 512;

    /** Events kept of other processes that have stopped. */
    public static final int ADOPTED_EVENTS = 4_096;

    private static final Comparator<TimelineEvent> ORDER = Comparator.comparing(TimelineEvent::time);

    private final ProcessId self;
    private final HybridClock clock;
    private final Ring<TimelineEvent> states = new Ring<>(STATE_EVENTS);
    private final Ring<TimelineEvent> adopted = new Ring<>(ADOPTED_EVENTS);
    private final Ring<RequestEvent> exceptions = new Ring<>(EXCEPTION_EVENTS);
    private final Ring<RequestEvent> requests = new Ring<>(REQUEST_EVENTS);

    /**
     * Creates the time line of a process.
     *
     * @param self the process
     * @param clock gives events their times
     */
    public Timeline(ProcessId self, HybridClock clock) {
        this.self = self;
        this.clock = clock;
    }

    /**
     * Adds an event about the process, its configuration, its peers or its backend servers.
     *
     * @param kind what happened
     * @param reason the decision's summary, or empty
     * @param fields details
     */
    public void note(EventKind kind, String reason, List<Field> fields) {
        states.add(new TimelineEvent(clock.next(), self, kind, reason, fields));
    }

    /**
     * Adds an event about a single request.
     *
     * @param kind what happened
     * @param reason the decision's summary, or empty
     * @param fields writes the details out when somebody reads them
     */
    public void noteRequest(EventKind kind, String reason, Supplier<List<Field>> fields) {
        boolean exception = kind == EventKind.REQUEST_REFUSED || kind == EventKind.REQUEST_RETRIED;
        (exception ? exceptions : requests).add(new RequestEvent(clock.next(), kind, reason, fields));
    }

    /**
     * Takes in the events of a process that stops, so that they can be read after its end.
     *
     * @param events its events
     */
    public void adopt(List<TimelineEvent> events) {
        for (TimelineEvent event : events) {
            clock.merge(event.time());
            adopted.add(event);
        }
    }

    /** Returns this process's own events that another one shall keep, the oldest first. */
    public List<TimelineEvent> legacy() {
        Stream<TimelineEvent> refused = exceptions.entries().stream().map(event -> event.written(self));
        List<TimelineEvent> events =
                Stream.concat(states.entries().stream(), refused).sorted(ORDER).toList();
        return events.subList(Math.max(0, events.size() - LEGACY_EVENTS), events.size());
    }

    /**
     * Returns events since a time, the oldest first.
     *
     * @param epochMillis the time in milliseconds since 1970
     * @param withRequests whether events of requests are wanted that were neither refused nor repeated
     */
    public List<TimelineEvent> since(long epochMillis, boolean withRequests) {
        return all(withRequests)
                .filter(event -> event.time().epochMillis() >= epochMillis)
                .sorted(ORDER)
                .toList();
    }

    /**
     * Returns the events that name a request, the oldest first.
     *
     * @param request this process's or the caller's name for the request
     */
    public List<TimelineEvent> about(String request) {
        List<String> names = all(true)
                .filter(event -> names(event, request))
                .flatMap(event -> event.fields().stream())
                .filter(field -> field.name().equals(TimelineListener.REQUEST))
                .map(Field::value)
                .distinct()
                .toList();
        return all(true)
                .filter(event -> names.stream().anyMatch(name -> names(event, name)))
                .sorted(ORDER)
                .toList();
    }

    /** Returns how many events no longer fitted into memory. */
    public long dropped() {
        return states.dropped() + exceptions.dropped() + requests.dropped();
    }

    private Stream<TimelineEvent> all(boolean withRequests) {
        List<RequestEvent> ordinary = withRequests ? requests.entries() : List.of();
        Stream<RequestEvent> ofRequests = Stream.concat(exceptions.entries().stream(), ordinary.stream());
        Stream<TimelineEvent> own = Stream.concat(states.entries().stream(), ofRequests.map(e -> e.written(self)));
        return Stream.concat(adopted.entries().stream(), own);
    }

    private static boolean names(TimelineEvent event, String request) {
        return event.fields().stream()
                .filter(field -> field.name().equals(TimelineListener.REQUEST)
                        || field.name().equals(TimelineListener.CALLER_REQUEST))
                .anyMatch(field -> field.value().equals(request));
    }

    private record RequestEvent(HybridTime time, EventKind kind, String reason, Supplier<List<Field>> fields) {
        private TimelineEvent written(ProcessId self) {
            return new TimelineEvent(time, self, kind, reason, fields.get());
        }
    }
}
