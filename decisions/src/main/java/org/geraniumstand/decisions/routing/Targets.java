package org.geraniumstand.decisions.routing;

import java.util.Optional;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Preset;

/**
 * The latency targets that choices aim at.
 *
 * @param firstMillis for the first token or answer, in milliseconds
 * @param betweenMillis between tokens, in milliseconds
 */
public record Targets(double firstMillis, double betweenMillis) {
    private static final Targets WITHOUT_PRESET = new Targets(1_000, 100);

    /**
     * Returns the targets of the preset in force.
     *
     * @param configuration the configuration in force
     */
    public static Targets of(Configuration configuration) {
        Optional<Preset> preset = configuration.preset();
        return preset.map(p -> new Targets(p.firstTokenMillis(), p.betweenTokensMillis()))
                .orElse(WITHOUT_PRESET);
    }
}
