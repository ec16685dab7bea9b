package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
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

final class LimitsPositiveTest {
    private final ConfigurationRule rule = new LimitsPositive();

    @Test
    void acceptsUsableLimits() {
        assertThat(paths(rule, valid(), ALONE), empty());
    }

    @Test
    void refusesWarmLimitBelowColdOne() {
        Service service = new Service(new ServiceId("a"), ServiceKind.PLAIN, new VersionId("v1"), 4, 3, 0);

        assertThat(
                paths(rule, valid().withServices(List.of(service)), ALONE),
                contains("services[0].maxConcurrency", "services[0].silenceMillis"));
    }

    @Test
    void refusesTargetsThatCannotBeKept() {
        Preset preset = new Preset(new PresetId("ordinary"), 0, 57, -1, 0, 101);

        assertThat(
                paths(rule, Documents.withPresets(List.of(preset)), ALONE),
                contains("presets[0].firstTokenMillis", "presets[0].onDemandFloor", "presets[0].retryPercent"));
    }
}
