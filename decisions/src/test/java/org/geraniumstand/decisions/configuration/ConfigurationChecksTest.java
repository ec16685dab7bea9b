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
    void findsNothingWrongWithValidDocument() {
        assertThat(ConfigurationChecks.check(Documents.valid(), Documents.ALONE), empty());
    }

    @Test
    void reportsAllErrorsAtOnce() {
        Configuration wrong = Documents.withRoutes(List.of(Documents.route("a", "x")))
                .withPreset(new PresetId("night"))
                .withServices(List.of(Documents.service("a"), Documents.service("a")));

        List<ConfigurationFinding> findings = ConfigurationChecks.check(wrong, Documents.ALONE);

        assertThat(
                findings.stream().map(ConfigurationFinding::path).toList(),
                hasItems("presetInForce", "services[1].id", "routes[0].service", "routes[0].pathPrefix"));
        assertThat(ConfigurationChecks.refused(findings), is(true));
    }

    @Test
    void acceptsDocumentWithWarningsOnly() {
        Configuration unusual = Documents.valid().withDataCentresOut(Set.of(new DataCentreId("wets-1")));

        List<ConfigurationFinding> findings = ConfigurationChecks.check(unusual, Documents.ALONE);

        assertThat(findings.size(), is(1));
        assertThat(ConfigurationChecks.refused(findings), is(false));
    }
}
