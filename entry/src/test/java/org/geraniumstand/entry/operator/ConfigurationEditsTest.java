package org.geraniumstand.entry.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.operation.MoveDeclaration;
import org.junit.jupiter.api.Test;

final class ConfigurationEditsTest {
    private static final VersionId V2 = new VersionId("v2");
    private static final MoveId MOVE = new MoveId("board-model-to-v2");
    private static final MoveDeclaration DECLARATION = new MoveDeclaration(null, Documents.MODEL, V2, 0, 60_000, 1);
    private static final ConfigurationEdit DECLARE = ConfigurationEdits.declareMove(DECLARATION, 1_000);

    private final Configuration current = Documents.at(4);
    private final Configuration moving = apply(DECLARE, current);

    @Test
    void declaredMoveStartsFromCurrentVersionOfService() {
        assertThat(
                moving.moves().get(0),
                is(new VersionMove(
                        MOVE, Documents.MODEL, new VersionId("v1"), V2, 1_000, 60_000, 1, MoveState.UNDER_WAY, "")));
    }

    @Test
    void declareMoveIsIdempotent() {
        assertThat(apply(DECLARE, moving), is(moving));
    }

    @Test
    void secondMoveToSameVersionGetsUnusedId() {
        Configuration withdrawn = apply(ConfigurationEdits.withdrawMove(MOVE), moving);

        assertThat(apply(DECLARE, withdrawn).moves().get(1).id(), is(new MoveId("board-model-to-v2-2")));
    }

    @Test
    void doneMoveSetsNewVersionOfService() {
        Configuration done = apply(ConfigurationEdits.endMove(MOVE, MoveState.DONE, "complete"), moving);

        assertThat(done.service(Documents.MODEL).orElseThrow().version(), is(V2));
        assertThat(done.moves().get(0).state(), is(MoveState.DONE));
    }

    @Test
    void withdrawnMoveKeepsVersionOfService() {
        Configuration withdrawn = apply(ConfigurationEdits.withdrawMove(MOVE), moving);

        assertThat(withdrawn.services(), is(current.services()));
        assertThat(apply(ConfigurationEdits.withdrawMove(MOVE), withdrawn), is(withdrawn));
    }

    @Test
    void rejectsWithdrawalOfMoveThatIsDone() {
        Configuration done = apply(ConfigurationEdits.endMove(MOVE, MoveState.DONE, ""), moving);

        assertThat(error(ConfigurationEdits.withdrawMove(MOVE), done), is(ChangeError.Kind.CONFLICT));
    }

    @Test
    void rejectsUnknownServiceAndUnknownMove() {
        MoveDeclaration unknown = new MoveDeclaration(null, new ServiceId("none"), V2, 0, 60_000, 1);

        assertThat(error(ConfigurationEdits.declareMove(unknown, 0), current), is(ChangeError.Kind.NOT_FOUND));
        assertThat(error(ConfigurationEdits.withdrawMove(MOVE), current), is(ChangeError.Kind.NOT_FOUND));
    }

    @Test
    void takesDataCentreOutAndReturnsIt() {
        Configuration out = apply(ConfigurationEdits.takeDataCentreOut(Documents.WEST), current);

        assertThat(out.dataCentresOut().contains(Documents.WEST), is(true));
        assertThat(apply(ConfigurationEdits.takeDataCentreOut(Documents.WEST), out), is(out));
        assertThat(
                apply(ConfigurationEdits.returnDataCentre(Documents.WEST), out).dataCentresOut(), empty());
    }

    @Test
    void replaceKeepsChangeTokens() {
        Configuration written = current.withChangeTokens("token");

        assertThat(apply(ConfigurationEdits.replace(current), written), is(written));
    }

    private static Configuration apply(ConfigurationEdit edit, Configuration current) {
        return edit.apply(Optional.of(current)).value().orElseThrow();
    }

    private static ChangeError.Kind error(ConfigurationEdit edit, Configuration current) {
        return edit.apply(Optional.of(current)).error().orElseThrow().kind();
    }
}
