package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;

/** Checks one condition that every accepted configuration must satisfy. */
@FunctionalInterface
public interface ConfigurationRule {
    /**
     * Checks a proposed configuration.
     *
     * @param next the proposed configuration
     * @param context the state that the configuration is checked against
     * @return the errors and warnings, or an empty list if the configuration satisfies the rule
     */
    List<ConfigurationFinding> check(Configuration next, CheckContext context);
}
