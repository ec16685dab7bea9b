package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.api.Test;

final class RequiredLevelSupportedTest {
    private final ConfigurationRule rule = new RequiredLevelSupported();

    @Test
    void acceptsLevelSupportedByAllMembers() {
        assertThat(
                findingPaths(rule, TestConfigurations.withRequiredLevel(1), TestConfigurations.contextWith(valid())),
                empty());
    }

    @Test
    void rejectsLevelNotSupportedByAMember() {
        assertThat(
                findingPaths(rule, TestConfigurations.withRequiredLevel(2), TestConfigurations.contextWith(valid())),
                contains("requiredLevel"));
    }

    @Test
    void rejectsNegativeLevel() {
        assertThat(findingPaths(rule, TestConfigurations.withRequiredLevel(-1), STANDALONE), contains("requiredLevel"));
    }
}
