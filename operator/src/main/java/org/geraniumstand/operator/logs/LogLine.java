package org.geraniumstand.operator.logs;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Represents one line of the log of an entry process.
 *
 * @param source name of the log file
 * @param time time of the line as ISO 8601 text in UTC
 * @param event name of the event
 * @param fields the other fields by name
 */
public record LogLine(String source, String time, String event, Map<String, String> fields) {
    private static final Pattern FIELD = Pattern.compile("([A-Za-z]+)=(\"((?:[^\"\\\\]|\\\\.)*)\"|[^\\s\"=]*)");
    private static final String TIME = "time";
    private static final String LEVEL = "level";
    private static final String EVENT = "event";

    /** Makes a defensive copy of the fields. */
    public LogLine {
        fields = Map.copyOf(fields);
    }

    /**
     * Parses a line and skips any text before its time, such as the prefix that a log collector adds.
     *
     * @param source name of the log file
     * @param text the text of the line
     * @return the parsed line, or empty if it is not a log line of an entry process
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
     * Returns the value of a field, or an empty string if the field is missing.
     *
     * @param name name of the field
     */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /**
     * Returns whether this line has the given event name and field value.
     *
     * @param name name of the event
     * @param field name of the field
     * @param value expected value of the field
     */
    boolean matches(String name, String field, String value) {
        return event.equals(name) && field(field).equals(value);
    }
}
