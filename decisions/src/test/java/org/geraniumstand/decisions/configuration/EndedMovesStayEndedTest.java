package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;
import org.junit.jupiter.api.Test;

final class EndedMovesStayEndedTest {
    private final ConfigurationRule rule = new EndedMovesStayEnded();

    private static final VersionMove MOVE = Documents.move("m", "v1", "v2", Documents.NOW + 60_000);

    @Test
    void refusesEndedMoveUnderWayAgain() {
        Configuration ended = valid().withMoves(List.of(MOVE.ended(MoveState.WITHDRAWN, "bad")));

        assertThat(paths(rule, valid().withMoves(List.of(MOVE)), Documents.after(ended)), contains("moves[0].state"));
    }

    @Test
    void acceptsMoveThatIsUnderWay() {
        Configuration current = valid().withMoves(List.of(MOVE));

        assertThat(paths(rule, current, Documents.after(current)), empty());
    }
}
