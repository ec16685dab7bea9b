package org.geraniumstand.support.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Set;
import org.geraniumstand.model.timeline.Field;

/** Logs each event as one line of key=value pairs. */
public final class Log {
    private static final String REDACTED = "***";

    /** Names of fields whose values are always redacted, in case a caller passes one by mistake. */
    private static final Set<String> SECRET_FIELDS = Set.of("token", "sharedKey", "key", "authorization", "password");

    private final Logger logger;

    private Log(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the logger of a class.
     *
     * @param owner the class whose name the logger has
     */
    public static Log of(Class<?> owner) {
        return new Log(System.getLogger(owner.getName()));
    }

    /**
     * Logs an event of normal operation.
     *
     * @param event event name, in kebab case
     * @param fields details of the event
     */
    public void info(String event, Field... fields) {
        write(Level.INFO, event, fields);
    }

    /**
     * Logs an event that operators should investigate.
     *
     * @param event event name, in kebab case
     * @param fields details of the event
     */
    public void warn(String event, Field... fields) {
        write(Level.WARNING, event, fields);
    }

    /**
     * Logs an event for debugging.
     *
     * @param event event name, in kebab case
     * @param fields details of the event
     */
    public void debug(String event, Field... fields) {
        write(Level.DEBUG, event, fields);
    }

    private void write(Level level, String event, Field... fields) {
        if (!logger.isLoggable(level)) {
            return;
        }
        StringBuilder line = new StringBuilder("event=").append(event);
        for (Field field : fields) {
            line.append(' ').append(field.name()).append('=').append(formatValue(field));
        }
        logger.log(level, line.toString());
    }

    private static String formatValue(Field field) {
        return SECRET_FIELDS.contains(field.name()) ? REDACTED : quote(field.value());
    }

    /** Returns whether a value needs no quotes; loops, as a regular expression costs more than the rest of the line. */
    private static boolean needsNoQuotes(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '=' || c == ' ' || (c >= '\t' && c <= '\r')) {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static String quote(String value) {
        if (needsNoQuotes(value)) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
