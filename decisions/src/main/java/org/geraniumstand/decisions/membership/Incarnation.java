package org.geraniumstand.decisions.membership;

import org.geraniumstand.model.id.ProcessId;

/**
 * The parts of a process's name.
 *
 * @param host the name from its settings, the same for each start
 * @param start when it started, in milliseconds since 1970, or zero if the name does not say
 */
public record Incarnation(String host, long start) {
    /** Starts before this, in milliseconds since 1970, are taken as part of the host's name. */
    private static final long EARLIEST_START_MILLIS = 1_000_000_000_000L;

    /**
     * Returns the name of a process that starts now.
     *
     * @param host the name from its settings
     * @param epochMillis the time in milliseconds since 1970
     */
    public static ProcessId name(String host, long epochMillis) {
        return new ProcessId(host + "-" + Long.toString(epochMillis, Character.MAX_RADIX));
    }

    /**
     * Takes a name apart.
     *
     * @param id the process
     */
    public static Incarnation of(ProcessId id) {
        String text = id.value();
        int dash = text.lastIndexOf('-');
        if (dash < 1) {
            return new Incarnation(text, 0);
        }
        try {
            long start = Long.parseLong(text.substring(dash + 1), Character.MAX_RADIX);
            return start < EARLIEST_START_MILLIS
                    ? new Incarnation(text, 0)
                    : new Incarnation(text.substring(0, dash), start);
        } catch (NumberFormatException _e) {
            return new Incarnation(text, 0);
        }
    }

    /**
     * Tells whether this is a later start of the same host.
     *
     * @param other the other process
     */
    public boolean succeeds(Incarnation other) {
        return host.equals(other.host) && start > other.start;
    }
}
