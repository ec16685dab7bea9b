package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;

/** Requires the preset in force to be one of the configured presets. */
@Decision(
        name = "preset-in-force-exists",
        summary = "Exactly one preset is in force, and it must be one of the configured presets.")
public final class PresetInForceExists implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        String allowed = next.presets().stream().map(p -> p.id().value()).collect(Collectors.joining(", "));
        findings.errorIf(
                next.preset().isEmpty(),
                "presetInForce",
                "unknown preset " + next.presetInForce() + "; allowed: " + allowed);
        return findings.toList();
    }
}
