package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.DataCentreId;
import org.junit.jupiter.api.Test;

final class DataCentreRemainsTest {
    private final ConfigurationRule rule = new DataCentreRemains();

    private final Configuration allOut =
            valid().withDataCentresOut(Set.of(new DataCentreId("west-1"), new DataCentreId("west-2")));

    @Test
    void acceptsDocumentThatLeavesADataCentre() {
        assertThat(paths(rule, valid().withDataCentresOut(Set.of(new DataCentreId("west-1"))), ALONE), empty());
    }

    @Test
    void refusesDocumentThatLeavesNone() {
        assertThat(paths(rule, allOut, ALONE), contains("dataCentresOut"));
    }

    @Test
    void acceptsDocumentThatLeavesNoneWhenOperatorsInsist() {
        assertThat(paths(rule, allOut, new CheckContext(Optional.empty(), Documents.NOW, 1, true)), empty());
    }
}
