package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Set;
import org.geraniumstand.model.id.DataCentreId;
import org.junit.jupiter.api.Test;

final class DataCentresHavePoolsTest {
    private final ConfigurationRule rule = new DataCentresHavePools();

    @Test
    void acceptsDataCentreWithPool() {
        assertThat(
                findingPaths(rule, valid().withDataCentresOut(Set.of(new DataCentreId("west-1"))), STANDALONE),
                empty());
    }

    @Test
    void warnsAboutDataCentreWithoutPool() {
        assertThat(
                findingPaths(rule, valid().withDataCentresOut(Set.of(new DataCentreId("wets-1"))), STANDALONE),
                contains("dataCentresOut"));
    }
}
