package org.geraniumstand.decisions.moves;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.sameInstance;

import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.id.MoveId;
import org.junit.jupiter.api.Test;

final class MoveEndRecorderTest {
    private final Configuration configuration = MoveFixture.configuration(600_000);

    @Test
    void completedMoveSetsServiceToNewVersion() {
        Configuration ended = MoveEndRecorder.apply(configuration, MoveFixture.MOVE, MoveState.DONE, "soaked");

        assertThat(ended.service(MoveFixture.SERVICE).orElseThrow().version(), equalTo(MoveFixture.NEW));
        assertThat(ended.moves().get(0).state(), equalTo(MoveState.DONE));
        assertThat(ended.moves().get(0).reason(), equalTo("soaked"));
    }

    @Test
    void withdrawnMoveKeepsServiceAtOldVersion() {
        Configuration ended = MoveEndRecorder.apply(configuration, MoveFixture.MOVE, MoveState.WITHDRAWN, "bad");

        assertThat(ended.service(MoveFixture.SERVICE).orElseThrow().version(), equalTo(MoveFixture.OLD));
    }

    @Test
    void secondEndDoesNotOverrideFirst() {
        Configuration ended = MoveEndRecorder.apply(configuration, MoveFixture.MOVE, MoveState.WITHDRAWN, "bad");

        assertThat(MoveEndRecorder.apply(ended, MoveFixture.MOVE, MoveState.DONE, "soaked"), sameInstance(ended));
    }

    @Test
    void unknownMoveChangesNothing() {
        assertThat(
                MoveEndRecorder.apply(configuration, new MoveId("other"), MoveState.DONE, ""),
                sameInstance(configuration));
    }
}
