package org.geraniumstand.decisions.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.PresetId;
import org.junit.jupiter.api.Test;

final class ConfigurationChecksTest {
    @Test
    void returnsNoFindingsForValidConfiguration() {
        assertThat(ConfigurationChecks.check(TestConfigurations.valid(), TestConfigurations.STANDALONE), empty());
    }

    @Test
    void returnsErrorsOfAllRulesTogether() {
        Configuration invalid = TestConfigurations.withRoutes(List.of(TestConfigurations.route("a", "x")))
                .withPreset(new PresetId("night"))
                .withServices(List.of(TestConfigurations.service("a"), TestConfigurations.service("a")));

        List<ConfigurationFinding> findings = ConfigurationChecks.check(invalid, TestConfigurations.STANDALONE);

        assertThat(
                findings.stream().map(ConfigurationFinding::path).toList(),
                hasItems("presetInForce", "services[1].id", "routes[0].service", "routes[0].pathPrefix"));
        assertThat(ConfigurationChecks.hasErrors(findings), is(true));
    }

    @Test
    void acceptsConfigurationWithOnlyWarnings() {
        Configuration withMisspelledDataCentre =
                TestConfigurations.valid().withDataCentresOut(Set.of(new DataCentreId("wets-1")));

        List<ConfigurationFinding> findings =
                ConfigurationChecks.check(withMisspelledDataCentre, TestConfigurations.STANDALONE);

        assertThat(findings.size(), is(1));
        assertThat(ConfigurationChecks.hasErrors(findings), is(false));
    }
}
