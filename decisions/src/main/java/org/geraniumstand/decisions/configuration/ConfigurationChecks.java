package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.ConfigurationFinding.Severity;

/** Checks a proposed configuration against all rules and returns the findings of all rules together. */
public final class ConfigurationChecks {
    private static final ConfigurationRule REQUIRED_FIELDS = new RequiredFieldsPresent();
    private static final List<ConfigurationRule> RULES = List.of(
            new GenerationMatchesCurrent(),
            new PresetInForceExists(),
            new IdentifiersUnique(),
            new RoutesValid(),
            new TeamsValid(),
            new LimitsInRange(),
            new MovesMatchServices(),
            new EndedMovesNotRestarted(),
            new DataCentresHavePools(),
            new DataCentreInService(),
            new RequiredLevelSupported());

    private ConfigurationChecks() {}

    /**
     * Checks a proposed configuration.
     *
     * @param next the proposed configuration
     * @param context the state that the configuration is checked against
     * @return errors and warnings of all rules, or only those about missing fields if a required field is missing
     */
    public static List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        List<ConfigurationFinding> missingFields = REQUIRED_FIELDS.check(next, context);
        if (!missingFields.isEmpty()) {
            // The other rules dereference the required fields, so they run only if none is missing.
            return missingFields;
        }
        return RULES.stream()
                .flatMap(rule -> rule.check(next, context).stream())
                .toList();
    }

    /**
     * Returns whether a configuration with the given findings must be rejected.
     *
     * @param findings the findings of {@link #check}
     */
    public static boolean hasErrors(List<ConfigurationFinding> findings) {
        return findings.stream().anyMatch(finding -> finding.severity() == Severity.ERROR);
    }
}
