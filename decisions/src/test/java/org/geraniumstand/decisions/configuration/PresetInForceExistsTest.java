package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.geraniumstand.model.id.PresetId;
import org.junit.jupiter.api.Test;

final class PresetInForceExistsTest {
    private final ConfigurationRule rule = new PresetInForceExists();

    @Test
    void acceptsPresetOfTheList() {
        assertThat(paths(rule, valid(), ALONE), empty());
    }

    @Test
    void refusesUnknownPreset() {
        assertThat(paths(rule, valid().withPreset(new PresetId("night")), ALONE), contains("presetInForce"));
    }
}
