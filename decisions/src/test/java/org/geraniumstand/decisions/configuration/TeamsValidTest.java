package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.TeamId;
import org.junit.jupiter.api.Test;

final class TeamsValidTest {
    private final ConfigurationRule rule = new TeamsValid();

    @Test
    void acceptsTeamsWithUniqueTokens() {
        assertThat(findingPaths(rule, valid(), STANDALONE), empty());
    }

    @Test
    void rejectsTokenOfAnotherTeam() {
        assertThat(
                findingPaths(
                        rule,
                        TestConfigurations.withTeams(
                                List.of(TestConfigurations.team("a", "c"), TestConfigurations.team("b", "c"))),
                        STANDALONE),
                contains("teams[1].tokenSha256"));
    }

    @Test
    void rejectsPlainTextTokenAndZeroWeight() {
        Team team = new Team(new TeamId("a"), "secret", 0, Priority.BATCH);

        assertThat(
                findingPaths(rule, TestConfigurations.withTeams(List.of(team)), STANDALONE),
                contains("teams[0].tokenSha256", "teams[0].weight"));
    }
}
