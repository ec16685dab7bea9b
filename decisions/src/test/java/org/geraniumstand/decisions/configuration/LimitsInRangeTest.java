package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.junit.jupiter.api.Test;

final class LimitsInRangeTest {
    private final ConfigurationRule rule = new LimitsInRange();

    @Test
    void acceptsLimitsInRange() {
        assertThat(findingPaths(rule, valid(), STANDALONE), empty());
    }

    @Test
    void rejectsMaxConcurrencyBelowColdConcurrency() {
        Service service = new Service(new ServiceId("a"), ServiceKind.PLAIN, new VersionId("v1"), 4, 3, 0);

        assertThat(
                findingPaths(rule, valid().withServices(List.of(service)), STANDALONE),
                contains("services[0].maxConcurrency", "services[0].silenceMillis"));
    }

    @Test
    void rejectsPresetValuesOutOfRange() {
        Preset preset = new Preset(new PresetId("ordinary"), 0, 57, -1, 0, 101);

        assertThat(
                findingPaths(rule, TestConfigurations.withPresets(List.of(preset)), STANDALONE),
                contains("presets[0].firstTokenMillis", "presets[0].onDemandFloor", "presets[0].retryPercent"));
    }
}
