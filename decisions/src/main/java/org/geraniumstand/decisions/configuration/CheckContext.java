package org.geraniumstand.decisions.configuration;

import java.util.Optional;
import org.geraniumstand.model.config.Configuration;

/**
 * What a proposed configuration is checked against.
 *
 * @param current the document in force, if any
 * @param nowEpochMillis wall clock now, in milliseconds since 1970
 * @param lowestMemberLevel lowest protocol level among the live members
 * @param force whether operators insist on a change that leaves no data centre
 */
public record CheckContext(Optional<Configuration> current, long nowEpochMillis, int lowestMemberLevel, boolean force) {
    /**
     * Returns a context for a document that is checked alone.
     *
     * @param nowEpochMillis wall clock now, in milliseconds since 1970
     */
    public static CheckContext alone(long nowEpochMillis) {
        return new CheckContext(Optional.empty(), nowEpochMillis, Integer.MAX_VALUE, false);
    }
}
