package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.TestConfigurations.STANDALONE;
import static org.geraniumstand.decisions.configuration.TestConfigurations.findingPaths;
import static org.geraniumstand.decisions.configuration.TestConfigurations.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.junit.jupiter.api.Test;

final class MovesMatchServicesTest {
    private final ConfigurationRule rule = new MovesMatchServices();

    private static final long DEADLINE = TestConfigurations.NOW_MILLIS + 60_000;

    @Test
    void acceptsMoveFromCurrentVersionOfService() {
        assertThat(
                findingPaths(
                        rule,
                        valid().withMoves(List.of(TestConfigurations.move("m", "v1", "v2", DEADLINE))),
                        STANDALONE),
                empty());
    }

    @Test
    void rejectsMoveFromAnotherVersion() {
        assertThat(
                findingPaths(
                        rule,
                        valid().withMoves(List.of(TestConfigurations.move("m", "v0", "v2", DEADLINE))),
                        STANDALONE),
                contains("moves[0].from"));
    }

    @Test
    void rejectsMoveToSameVersion() {
        assertThat(
                findingPaths(
                        rule,
                        valid().withMoves(List.of(TestConfigurations.move("m", "v1", "v1", DEADLINE))),
                        STANDALONE),
                contains("moves[0].to"));
    }

    @Test
    void rejectsPastDeadlineOnlyForNewMove() {
        Configuration expired =
                valid().withMoves(List.of(TestConfigurations.move("m", "v1", "v2", TestConfigurations.NOW_MILLIS + 1)));
        CheckContext later = CheckContext.standalone(TestConfigurations.NOW_MILLIS + 2);

        assertThat(findingPaths(rule, expired, later), contains("moves[0].deadlineEpochMillis"));
        assertThat(findingPaths(rule, expired, TestConfigurations.contextWith(expired)), empty());
    }

    @Test
    void rejectsSecondMoveInProgressOfService() {
        assertThat(
                findingPaths(
                        rule,
                        valid().withMoves(List.of(
                                TestConfigurations.move("m", "v1", "v2", DEADLINE),
                                TestConfigurations.move("n", "v1", "v3", DEADLINE))),
                        STANDALONE),
                contains("moves[1].service"));
    }

    @Test
    void ignoresEndedMoves() {
        assertThat(
                findingPaths(
                        rule,
                        valid().withMoves(List.of(
                                TestConfigurations.move("m", "v0", "v1", 0).ended(MoveState.DONE, ""))),
                        STANDALONE),
                empty());
    }
}
