package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.DataCentreId;
import org.junit.jupiter.api.Test;

final class DataCentreInServiceTest {
    private final ConfigurationRule rule = new DataCentreInService();

    private final Configuration allOutOfService =
            valid().withDataCentresOut(Set.of(new DataCentreId("west-1"), new DataCentreId("west-2")));

    @Test
    void acceptsConfigurationWithOneDataCentreInService() {
        assertThat(
                findingPaths(rule, valid().withDataCentresOut(Set.of(new DataCentreId("west-1"))), STANDALONE),
                empty());
    }

    @Test
    void rejectsConfigurationWithoutDataCentreInService() {
        assertThat(findingPaths(rule, allOutOfService, STANDALONE), contains("dataCentresOut"));
    }

    @Test
    void acceptsConfigurationWithoutDataCentreInServiceWhenForced() {
        assertThat(
                findingPaths(
                        rule,
                        allOutOfService,
                        new CheckContext(Optional.empty(), TestConfigurations.NOW_MILLIS, 1, true)),
                empty());
    }
}
