package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;

/** A condition that every accepted configuration fulfils. */
@FunctionalInterface
public interface ConfigurationRule {
    /**
     * Checks a document.
     *
     * @param next the document that operators propose
     * @param context what it is checked against
     * @return what was found, empty if the rule is kept
     */
    List<ConfigurationFinding> check(Configuration next, CheckContext context);
}
