package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.TeamId;
import org.junit.jupiter.api.Test;

final class TeamsIdentifiedTest {
    private final ConfigurationRule rule = new TeamsIdentified();

    @Test
    void acceptsTeamsWithTokensOfTheirOwn() {
        assertThat(paths(rule, valid(), ALONE), empty());
    }

    @Test
    void refusesTokenOfAnotherTeam() {
        assertThat(
                paths(rule, Documents.withTeams(List.of(Documents.team("a", "c"), Documents.team("b", "c"))), ALONE),
                contains("teams[1].tokenSha256"));
    }

    @Test
    void refusesTokenInPlainTextAndWeightOfZero() {
        Team team = new Team(new TeamId("a"), "secret", 0, Priority.BATCH);

        assertThat(
                paths(rule, Documents.withTeams(List.of(team)), ALONE),
                contains("teams[0].tokenSha256", "teams[0].weight"));
    }
}
