package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Set;
import org.geraniumstand.model.id.DataCentreId;
import org.junit.jupiter.api.Test;

final class DataCentresKnownTest {
    private final ConfigurationRule rule = new DataCentresKnown();

    @Test
    void acceptsDataCentreWithPool() {
        assertThat(paths(rule, valid().withDataCentresOut(Set.of(new DataCentreId("west-1"))), ALONE), empty());
    }

    @Test
    void warnsOfDataCentreWithoutPool() {
        assertThat(
                paths(rule, valid().withDataCentresOut(Set.of(new DataCentreId("wets-1"))), ALONE),
                contains("dataCentresOut"));
    }
}
