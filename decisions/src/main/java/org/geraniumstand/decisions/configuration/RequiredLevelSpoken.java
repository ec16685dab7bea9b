package org.geraniumstand.decisions.configuration;

import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;

/** Requires every live member to speak the protocol level that a document needs. */
@Decision(
        name = "required-level-spoken",
        summary = "A configuration is accepted only when every live member speaks the protocol level that it needs.")
public final class RequiredLevelSpoken implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Findings findings = new Findings();
        findings.errorIf(next.requiredLevel() < 0, "requiredLevel", "must not be negative");
        findings.errorIf(
                next.requiredLevel() > context.lowestMemberLevel(),
                "requiredLevel",
                "level " + next.requiredLevel() + " is needed, but a live member speaks only level "
                        + context.lowestMemberLevel() + "; replace that process first");
        return findings.list();
    }
}
