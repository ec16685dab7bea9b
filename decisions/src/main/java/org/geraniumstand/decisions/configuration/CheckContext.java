package org.geraniumstand.decisions.configuration;

import java.util.Optional;
import org.geraniumstand.model.config.Configuration;

/**
 * Holds the state that a proposed configuration is checked against.
 *
 * @param current the configuration in force, or empty if there is none
 * @param nowEpochMillis current wall-clock time, in milliseconds since the Unix epoch (1970)
 * @param lowestMemberLevel lowest protocol level that any live member supports
 * @param force whether to accept a configuration that leaves no data centre in service
 */
public record CheckContext(Optional<Configuration> current, long nowEpochMillis, int lowestMemberLevel, boolean force) {
    /**
     * Returns a context without a configuration in force and without members, for offline validation.
     *
     * @param nowEpochMillis current wall-clock time, in milliseconds since the Unix epoch (1970)
     */
    public static CheckContext standalone(long nowEpochMillis) {
        return new CheckContext(Optional.empty(), nowEpochMillis, Integer.MAX_VALUE, false);
    }
}
