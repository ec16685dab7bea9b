package org.geraniumstand.entry.operator;

import java.util.Optional;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;

/** Makes a proposed configuration from the one in force; may be applied more than once when operators race. */
@FunctionalInterface
public interface ConfigurationEdit {
    /**
     * Returns the proposed document, at the generation of the one in force.
     *
     * @param current the document in force, if any
     * @return the proposed document, equal to the current one if nothing is to be changed, or why there is none
     */
    Result<Configuration, ChangeError> apply(Optional<Configuration> current);
}
