package org.geraniumstand.decisions.membership;

import org.geraniumstand.model.id.ProcessId;

/**
 * Holds the components of a process name.
 *
 * @param configuredName the name from the process's settings, equal for all its starts
 * @param startMillis when the process started, in milliseconds since 1970, or zero if the name contains no start time
 */
public record Incarnation(String configuredName, long startMillis) {
    /** Earliest start time, in milliseconds since 1970; a smaller number is treated as part of the configured name. */
    private static final long EARLIEST_START_MILLIS = 1_000_000_000_000L;

    /**
     * Returns the name of a process that starts now.
     *
     * @param processName the name from the process's settings
     * @param epochMillis the current time in milliseconds since 1970
     */
    public static ProcessId name(String processName, long epochMillis) {
        return new ProcessId(processName + "-" + Long.toString(epochMillis, Character.MAX_RADIX));
    }

    /**
     * Parses a process name.
     *
     * @param id the process
     */
    public static Incarnation of(ProcessId id) {
        String text = id.value();
        int separatorIndex = text.lastIndexOf('-');
        if (separatorIndex < 1) {
            return new Incarnation(text, 0);
        }
        try {
            long parsedStart = Long.parseLong(text.substring(separatorIndex + 1), Character.MAX_RADIX);
            return parsedStart < EARLIEST_START_MILLIS
                    ? new Incarnation(text, 0)
                    : new Incarnation(text.substring(0, separatorIndex), parsedStart);
        } catch (NumberFormatException _e) {
            return new Incarnation(text, 0);
        }
    }

    /**
     * Returns whether this is a later incarnation of the same configured process.
     *
     * @param other the other incarnation
     */
    public boolean succeeds(Incarnation other) {
        return configuredName.equals(other.configuredName) && startMillis > other.startMillis;
    }
}
