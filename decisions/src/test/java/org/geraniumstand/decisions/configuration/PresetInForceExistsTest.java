package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.geraniumstand.model.id.PresetId;
import org.junit.jupiter.api.Test;

final class PresetInForceExistsTest {
    private final ConfigurationRule rule = new PresetInForceExists();

    @Test
    void acceptsConfiguredPreset() {
        assertThat(findingPaths(rule, valid(), STANDALONE), empty());
    }

    @Test
    void rejectsUnknownPreset() {
        assertThat(
                findingPaths(rule, valid().withPreset(new PresetId("night")), STANDALONE), contains("presetInForce"));
    }
}
