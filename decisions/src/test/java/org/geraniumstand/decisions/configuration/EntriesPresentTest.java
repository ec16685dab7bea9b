package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.id.ServiceId;
import org.junit.jupiter.api.Test;

final class EntriesPresentTest {
    private final ConfigurationRule rule = new EntriesPresent();

    @Test
    void acceptsDocumentWithAllEntries() {
        assertThat(paths(rule, valid(), ALONE), empty());
    }

    @Test
    void namesEachMissingEntry() {
        Service service = new Service(new ServiceId("board-model"), null, null, 1, 8, 2_000);

        assertThat(
                paths(rule, valid().withServices(List.of(Documents.service("a"), service)), ALONE),
                contains("services[1].kind", "services[1].version"));
    }

    @Test
    void refusesDocumentWithoutPresetInForce() {
        assertThat(paths(rule, valid().withPreset(null), ALONE), contains("presetInForce"));
    }

    @Test
    void acceptsModelService() {
        Service service = new Service(
                new ServiceId("a"), ServiceKind.MODEL, Documents.service("a").version(), 1, 8, 1);

        assertThat(paths(rule, valid().withServices(List.of(service)), ALONE), empty());
    }
}
