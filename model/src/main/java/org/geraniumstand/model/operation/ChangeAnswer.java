package org.geraniumstand.model.operation;

import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;

/**
 * The answer to an accepted change of the configuration.
 *
 * @param generation the generation that holds the change
 * @param changed false if the configuration was already as wanted
 * @param warnings what operators should look at
 */
public record ChangeAnswer(long generation, boolean changed, List<ConfigurationFinding> warnings) {
    /** Copies the list. */
    public ChangeAnswer {
        warnings = List.copyOf(warnings);
    }
}
