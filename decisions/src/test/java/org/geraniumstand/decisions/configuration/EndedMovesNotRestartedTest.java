package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;
import org.junit.jupiter.api.Test;

final class EndedMovesNotRestartedTest {
    private final ConfigurationRule rule = new EndedMovesNotRestarted();

    private static final VersionMove MOVE =
            TestConfigurations.move("m", "v1", "v2", TestConfigurations.NOW_MILLIS + 60_000);

    @Test
    void rejectsRestartOfEndedMove() {
        Configuration ended = valid().withMoves(List.of(MOVE.ended(MoveState.WITHDRAWN, "bad")));

        assertThat(
                findingPaths(rule, valid().withMoves(List.of(MOVE)), TestConfigurations.contextWith(ended)),
                contains("moves[0].state"));
    }

    @Test
    void acceptsMoveInProgress() {
        Configuration current = valid().withMoves(List.of(MOVE));

        assertThat(findingPaths(rule, current, TestConfigurations.contextWith(current)), empty());
    }
}
