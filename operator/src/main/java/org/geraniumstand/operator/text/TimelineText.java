package org.geraniumstand.operator.text;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.stream.Collectors;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Label;
import org.geraniumstand.model.timeline.TimelineEvent;

/** Formats events as lines of text. */
public final class TimelineText {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS", Locale.ROOT).withZone(ZoneOffset.UTC);

    private TimelineText() {}

    /**
     * Formats an event as one line.
     *
     * @param event the event
     */
    public static String line(TimelineEvent event) {
        String fields = fields(event);
        String reason = event.reason().isEmpty() ? "" : "  # " + event.reason();
        return time(event) + "  " + pad(event.process().value(), 16) + "  " + pad(kind(event.kind()), 22) + "  "
                + fields + reason;
    }

    /** Formats the wall clock part of an event's hybrid time, in UTC. */
    static String time(TimelineEvent event) {
        return TIME.format(Instant.ofEpochMilli(event.time().epochMillis()));
    }

    /** Formats an event kind in kebab case, as in the logs. */
    static String kind(EventKind kind) {
        return Label.of(kind);
    }

    /** Formats the fields of an event as key=value pairs. */
    static String fields(TimelineEvent event) {
        return event.fields().stream()
                .map(field -> field.name() + "=" + field.value())
                .collect(Collectors.joining(" "));
    }

    /** Pads a text with trailing spaces to a width. */
    static String pad(String text, int width) {
        return text.length() >= width ? text : text + " ".repeat(width - text.length());
    }
}
