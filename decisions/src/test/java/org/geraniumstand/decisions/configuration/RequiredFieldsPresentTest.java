package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.id.ServiceId;
import org.junit.jupiter.api.Test;

final class RequiredFieldsPresentTest {
    private final ConfigurationRule rule = new RequiredFieldsPresent();

    @Test
    void acceptsConfigurationWithAllRequiredFields() {
        assertThat(findingPaths(rule, valid(), STANDALONE), empty());
    }

    @Test
    void reportsEachMissingField() {
        Service service = new Service(new ServiceId("board-model"), null, null, 1, 8, 2_000);

        assertThat(
                findingPaths(rule, valid().withServices(List.of(TestConfigurations.service("a"), service)), STANDALONE),
                contains("services[1].kind", "services[1].version"));
    }

    @Test
    void rejectsConfigurationWithoutPresetInForce() {
        assertThat(findingPaths(rule, valid().withPreset(null), STANDALONE), contains("presetInForce"));
    }

    @Test
    void acceptsServiceOfKindModel() {
        Service service = new Service(
                new ServiceId("a"),
                ServiceKind.MODEL,
                TestConfigurations.service("a").version(),
                1,
                8,
                1);

        assertThat(findingPaths(rule, valid().withServices(List.of(service)), STANDALONE), empty());
    }
}
