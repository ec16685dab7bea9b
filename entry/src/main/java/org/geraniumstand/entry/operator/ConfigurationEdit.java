package org.geraniumstand.entry.operator;

import java.util.Optional;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;

/** Derives a proposed configuration from the one in force; may be applied again when concurrent changes conflict. */
@FunctionalInterface
public interface ConfigurationEdit {
    /**
     * Returns the proposed document, with the generation of the one in force.
     *
     * @param current document in force, if any
     * @return the proposed document, equal to the current one if nothing changes, or the error
     */
    Result<Configuration, ChangeError> apply(Optional<Configuration> current);
}
