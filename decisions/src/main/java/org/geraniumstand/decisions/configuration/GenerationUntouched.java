package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;

/** Requires a document to name the generation that it was made from. */
@Decision(
        name = "generation-untouched",
        summary = "A configuration that was made from another generation than the one in force is refused.")
public final class GenerationUntouched implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Optional<Long> current = context.current().map(Configuration::generation);
        Findings findings = new Findings();
        findings.errorIf(next.generation() < 0, "generation", "must not be negative");
        findings.errorIf(
                current.isPresent() && current.get() != next.generation(),
                "generation",
                "the document was made from generation " + next.generation() + ", but generation "
                        + current.orElse(0L)
                        + " is in force; start from `geraniumctl config show` and leave the generation as it is");
        return findings.list();
    }
}
