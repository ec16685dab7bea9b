package org.geraniumstand.model.operation;

import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;

/**
 * Reports the result of an accepted configuration change to the operator.
 *
 * @param generation the generation that contains the change
 * @param changed false if the configuration already had the requested content
 * @param warnings findings that operators should review
 */
public record ChangeResponse(long generation, boolean changed, List<ConfigurationFinding> warnings) {
    /** Makes a defensive copy of the list. */
    public ChangeResponse {
        warnings = List.copyOf(warnings);
    }
}
