package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;

/** Requires every live member to support the protocol level that a configuration needs. */
@Decision(
        name = "required-level-spoken",
        summary = "A configuration is accepted only if every live member supports the protocol level that it requires.")
public final class RequiredLevelSupported implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Findings findings = new Findings();
        findings.errorIf(next.requiredLevel() < 0, "requiredLevel", "must not be negative");
        findings.errorIf(
                next.requiredLevel() > context.lowestMemberLevel(),
                "requiredLevel",
                "level " + next.requiredLevel() + " is required, but a live member supports only level "
                        + context.lowestMemberLevel() + "; upgrade that process first");
        return findings.toList();
    }
}
