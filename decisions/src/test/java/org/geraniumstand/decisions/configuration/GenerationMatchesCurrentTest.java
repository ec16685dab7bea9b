package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.api.Test;

final class GenerationMatchesCurrentTest {
    private final ConfigurationRule rule = new GenerationMatchesCurrent();

    @Test
    void acceptsConfigurationBasedOnGenerationInForce() {
        assertThat(findingPaths(rule, valid(), TestConfigurations.contextWith(valid())), empty());
    }

    @Test
    void acceptsAnyGenerationWhenNoConfigurationIsInForce() {
        assertThat(findingPaths(rule, valid(), STANDALONE), empty());
    }

    @Test
    void rejectsConfigurationBasedOnOlderGeneration() {
        assertThat(
                findingPaths(rule, valid(), TestConfigurations.contextWith(valid().withGeneration(4))),
                contains("generation"));
    }
}
