package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.junit.jupiter.api.Test;

final class IdentifiersUniqueTest {
    private final ConfigurationRule rule = new IdentifiersUnique();

    @Test
    void acceptsDifferentIds() {
        assertThat(paths(rule, valid(), ALONE), empty());
    }

    @Test
    void refusesSecondServiceOfTheSameId() {
        assertThat(
                paths(rule, valid().withServices(List.of(Documents.service("a"), Documents.service("a"))), ALONE),
                contains("services[1].id"));
    }
}
