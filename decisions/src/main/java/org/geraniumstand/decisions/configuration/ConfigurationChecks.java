package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.ConfigurationFinding.Severity;

/** Checks a proposed configuration against all rules and reports everything that is wrong at once. */
public final class ConfigurationChecks {
    private static final ConfigurationRule PRESENCE = new EntriesPresent();
    private static final List<ConfigurationRule> RULES = List.of(
            new GenerationUntouched(),
            new PresetInForceExists(),
            new IdentifiersUnique(),
            new RoutesLeadToServices(),
            new TeamsIdentified(),
            new LimitsPositive(),
            new MovesFitServices(),
            new EndedMovesStayEnded(),
            new DataCentresKnown(),
            new DataCentreRemains(),
            new RequiredLevelSpoken());

    private ConfigurationChecks() {}

    /**
     * Checks a document.
     *
     * @param next the document that operators propose
     * @param context what it is checked against
     * @return all findings, errors and warnings
     */
    public static List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        List<ConfigurationFinding> missing = PRESENCE.check(next, context);
        if (!missing.isEmpty()) {
            // The other rules rely on entries that are there.
            return missing;
        }
        return RULES.stream()
                .flatMap(rule -> rule.check(next, context).stream())
                .toList();
    }

    /**
     * Returns whether findings keep a document from being accepted.
     *
     * @param findings the findings
     */
    public static boolean refused(List<ConfigurationFinding> findings) {
        return findings.stream().anyMatch(finding -> finding.severity() == Severity.ERROR);
    }
}
