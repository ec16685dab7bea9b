package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.api.Test;

final class RequiredLevelSpokenTest {
    private final ConfigurationRule rule = new RequiredLevelSpoken();

    @Test
    void acceptsLevelThatAllMembersSpeak() {
        assertThat(paths(rule, Documents.withRequiredLevel(1), Documents.after(valid())), empty());
    }

    @Test
    void refusesLevelThatAMemberDoesNotSpeak() {
        assertThat(paths(rule, Documents.withRequiredLevel(2), Documents.after(valid())), contains("requiredLevel"));
    }

    @Test
    void refusesNegativeLevel() {
        assertThat(paths(rule, Documents.withRequiredLevel(-1), ALONE), contains("requiredLevel"));
    }
}
