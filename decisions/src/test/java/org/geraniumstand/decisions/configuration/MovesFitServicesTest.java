package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.junit.jupiter.api.Test;

final class MovesFitServicesTest {
    private final ConfigurationRule rule = new MovesFitServices();

    private static final long DEADLINE = Documents.NOW + 60_000;

    @Test
    void acceptsMoveFromTheVersionOfTheService() {
        assertThat(paths(rule, valid().withMoves(List.of(Documents.move("m", "v1", "v2", DEADLINE))), ALONE), empty());
    }

    @Test
    void refusesMoveFromAnotherVersion() {
        assertThat(
                paths(rule, valid().withMoves(List.of(Documents.move("m", "v0", "v2", DEADLINE))), ALONE),
                contains("moves[0].from"));
    }

    @Test
    void refusesMoveToTheSameVersion() {
        assertThat(
                paths(rule, valid().withMoves(List.of(Documents.move("m", "v1", "v1", DEADLINE))), ALONE),
                contains("moves[0].to"));
    }

    @Test
    void refusesDeadlineInThePastOfANewMoveOnly() {
        Configuration past = valid().withMoves(List.of(Documents.move("m", "v1", "v2", Documents.NOW + 1)));
        CheckContext later = CheckContext.alone(Documents.NOW + 2);

        assertThat(paths(rule, past, later), contains("moves[0].deadlineEpochMillis"));
        assertThat(paths(rule, past, Documents.after(past)), empty());
    }

    @Test
    void refusesSecondMoveOfAServiceUnderWay() {
        assertThat(
                paths(
                        rule,
                        valid().withMoves(List.of(
                                Documents.move("m", "v1", "v2", DEADLINE), Documents.move("n", "v1", "v3", DEADLINE))),
                        ALONE),
                contains("moves[1].service"));
    }

    @Test
    void leavesEndedMovesAlone() {
        assertThat(
                paths(
                        rule,
                        valid().withMoves(List.of(
                                Documents.move("m", "v0", "v1", 0).ended(MoveState.DONE, ""))),
                        ALONE),
                empty());
    }
}
