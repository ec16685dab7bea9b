package org.geraniumstand.operator.logs;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of a process's log.
 *
 * @param source name of the log
 * @param time when it was written, as ISO 8601 text in UTC
 * @param event name of the event
 * @param fields the other fields by name, in order
 */
public record LogLine(String source, String time, String event, Map<String, String> fields) {
    private static final Pattern FIELD = Pattern.compile("([A-Za-z]+)=(\"((?:[^\"\\\\]|\\\\.)*)\"|[^\\s\"=]*)");
    private static final String TIME = "time";
    private static final String LEVEL = "level";
    private static final String EVENT = "event";

    /** Copies the fields. */
    public LogLine {
        fields = Map.copyOf(fields);
    }

    /**
     * Reads a line; what stands before its time, as collectors of logs add it, is left out.
     *
     * @param source name of the log
     * @param text the line
     * @return the line, or nothing if it is none of an entry process
     */
    public static Optional<LogLine> parse(String source, String text) {
        int start = text.indexOf(TIME + "=");
        if (start < 0) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(text);
        matcher.region(start, text.length());
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(3) == null ? matcher.group(2) : matcher.group(3));
        }
        String time = fields.remove(TIME);
        String event = fields.remove(EVENT);
        fields.remove(LEVEL);
        return event == null ? Optional.empty() : Optional.of(new LogLine(source, time, event, fields));
    }

    /**
     * Returns a field, or an empty text.
     *
     * @param name its name
     */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /**
     * Returns whether this is a line of an event about something.
     *
     * @param name name of the event
     * @param field name of the field that names the thing
     * @param value the thing
     */
    boolean is(String name, String field, String value) {
        return event.equals(name) && field(field).equals(value);
    }
}
