package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.junit.jupiter.api.Test;

final class IdentifiersUniqueTest {
    private final ConfigurationRule rule = new IdentifiersUnique();

    @Test
    void acceptsUniqueIds() {
        assertThat(findingPaths(rule, valid(), STANDALONE), empty());
    }

    @Test
    void rejectsSecondServiceWithSameId() {
        assertThat(
                findingPaths(
                        rule,
                        valid().withServices(List.of(TestConfigurations.service("a"), TestConfigurations.service("a"))),
                        STANDALONE),
                contains("services[1].id"));
    }
}
