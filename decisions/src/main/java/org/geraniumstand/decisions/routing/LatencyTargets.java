package org.geraniumstand.decisions.routing;

import java.util.Optional;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Preset;

/**
 * Holds the latency targets for server selection and admission.
 *
 * @param firstTokenMillis target for the first token, or for the response of a plain service, in milliseconds
 * @param betweenTokensMillis target for the time between tokens, in milliseconds
 */
public record LatencyTargets(double firstTokenMillis, double betweenTokensMillis) {
    private static final LatencyTargets WITHOUT_PRESET = new LatencyTargets(1_000, 100);

    /**
     * Returns the targets of the preset in force, or default targets if there is none.
     *
     * @param configuration the configuration in force
     */
    public static LatencyTargets of(Configuration configuration) {
        Optional<Preset> preset = configuration.preset();
        return preset.map(p -> new LatencyTargets(p.firstTokenMillis(), p.betweenTokensMillis()))
                .orElse(WITHOUT_PRESET);
    }
}
