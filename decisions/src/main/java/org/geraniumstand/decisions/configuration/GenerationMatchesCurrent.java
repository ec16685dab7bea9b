package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;

/** Requires a proposed configuration to be based on the generation in force, so that no update is lost. */
@Decision(
        name = "generation-untouched",
        summary = "A configuration that is based on a generation other than the one in force is rejected.")
public final class GenerationMatchesCurrent implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Optional<Long> current = context.current().map(Configuration::generation);
        Findings findings = new Findings();
        findings.errorIf(next.generation() < 0, "generation", "must not be negative");
        findings.errorIf(
                current.isPresent() && current.get() != next.generation(),
                "generation",
                "the configuration is based on generation " + next.generation() + ", but generation "
                        + current.orElse(0L)
                        + " is in force; edit the output of `geraniumctl config show` and keep its generation");
        return findings.toList();
    }
}
