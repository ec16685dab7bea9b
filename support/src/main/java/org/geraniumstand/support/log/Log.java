package org.geraniumstand.support.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Set;
import org.geraniumstand.model.timeline.Field;

/** Writes one line of key=value pairs for each event. */
public final class Log {
    private static final String HIDDEN = "***";

    /** Names of fields whose values are never written, whoever passes them by mistake. */
    private static final Set<String> SECRETS = Set.of("token", "sharedKey", "key", "authorization", "password");

    private final Logger logger;

    private Log(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the log of a class.
     *
     * @param owner the class
     */
    public static Log of(Class<?> owner) {
        return new Log(System.getLogger(owner.getName()));
    }

    /**
     * Writes an event that operators expect to see.
     *
     * @param event name of the event, in kebab case
     * @param fields its details
     */
    public void info(String event, Field... fields) {
        write(Level.INFO, event, fields);
    }

    /**
     * Writes an event that operators should look at.
     *
     * @param event name of the event, in kebab case
     * @param fields its details
     */
    public void warn(String event, Field... fields) {
        write(Level.WARNING, event, fields);
    }

    /**
     * Writes an event for developers.
     *
     * @param event name of the event, in kebab case
     * @param fields its details
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
            line.append(' ').append(field.name()).append('=').append(shown(field));
        }
        logger.log(level, line.toString());
    }

    private static String shown(Field field) {
        return SECRETS.contains(field.name()) ? HIDDEN : quote(field.value());
    }

    /** Looks at each character, as a pattern would cost more than the rest of the line. */
    private static boolean plain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '=' || c == ' ' || (c >= '\t' && c <= '\r')) {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static String quote(String value) {
        if (plain(value)) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
