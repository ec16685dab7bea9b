package org.geraniumstand.decisions.moves;

import static org.geraniumstand.decisions.moves.MoveFixture.at;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;

final class MoveBoardTest {
    private static final long LENGTH_MILLIS = 600_000;
    private static final long TICK_MILLIS = 100;

    private final MoveBoard board = new MoveBoard(new ProcessId("p0"));
    private long clock;

    MoveBoardTest() {
        board.onConfiguration(MoveFixture.configuration(LENGTH_MILLIS), at(0));
        board.onFleet(MoveFixture.fleet(), at(0));
        MoveFixture.fleet().forEach(server -> board.onWarmth(server.id(), true, at(0)));
    }

    @Test
    void fewRequestsGoToNewVersionAtFirst() {
        traffic(20, AttemptEnd.ANSWERED);

        assertThat(newOf(1_000), lessThan(50));
    }

    @Test
    void someRequestsGoToNewVersion() {
        traffic(60, AttemptEnd.ANSWERED);

        assertThat(newOf(2_000), greaterThan(0));
    }

    @Test
    void failuresMarkVersionAndStopItAtOnce() {
        List<Action> actions = traffic(60, AttemptEnd.SERVER_ERROR);

        assertThat(actions, hasItem(instanceOf(Action.ShareBadMark.class)));
        assertThat(actions, hasItem(instanceOf(Action.EndMove.class)));
        assertThat(newOf(2_000), equalTo(0));
    }

    @Test
    void markOfAnotherProcessStopsVersion() {
        traffic(20, AttemptEnd.ANSWERED);

        board.onBadMarks(
                List.of(new BadMark(MoveFixture.MOVE, MoveFixture.SERVICE, MoveFixture.NEW, "fails")), at(clock));

        assertThat(newOf(2_000), equalTo(0));
    }

    @Test
    void ownCancellationsAreNoFailures() {
        List<Action> actions = traffic(60, AttemptEnd.CANCELLED);

        assertThat(actions, not(hasItem(instanceOf(Action.ShareBadMark.class))));
    }

    @Test
    void brokenConnectionsOfReclaimedServersAreNoFailures() {
        List<Action> actions = new ArrayList<>(traffic(20, AttemptEnd.ANSWERED));
        for (int i = 0; i < 4; i++) {
            actions.addAll(board.onAttemptEnded(
                    MoveFixture.request("x" + i),
                    MoveFixture.server(MoveFixture.NEW, i),
                    MoveFixture.report(AttemptEnd.BROKEN),
                    at(clock)));
        }
        board.onFleet(List.of(MoveFixture.server(MoveFixture.OLD, 0)), at(clock));
        actions.addAll(traffic(20, AttemptEnd.ANSWERED));

        assertThat(actions, not(hasItem(instanceOf(Action.ShareBadMark.class))));
    }

    @Test
    void retryOfFailedRequestGoesToOldVersion() {
        traffic(60, AttemptEnd.ANSWERED);
        String id = firstOfNew();

        board.onAttemptEnded(
                MoveFixture.request(id),
                MoveFixture.server(MoveFixture.NEW, 0),
                MoveFixture.report(AttemptEnd.SERVER_ERROR),
                at(clock));

        assertThat(versions(id), contains(MoveFixture.OLD));
    }

    @Test
    void repeatedQuestionGetsSameAnswer() {
        traffic(60, AttemptEnd.ANSWERED);
        String id = firstOfNew();

        assertThat(versions(id), equalTo(versions(id)));
    }

    @Test
    void closeDeadlineWithdrawsUntried() {
        MoveBoard other = new MoveBoard(new ProcessId("p1"));
        other.onConfiguration(MoveFixture.configuration(30_000), at(0));
        other.onFleet(MoveFixture.fleet(), at(0));

        List<Action> actions = new ArrayList<>();
        for (long t = 0; t < 5_000; t += TICK_MILLIS) {
            actions.addAll(other.onTick(at(t)));
        }

        assertThat(actions, hasItem(new Action.EndMove(MoveFixture.MOVE, MoveState.WITHDRAWN, MoveVerdict.TOO_CLOSE)));
    }

    @Test
    void endInConfigurationSettlesVersion() {
        Configuration done = MoveEnds.apply(
                        MoveFixture.configuration(LENGTH_MILLIS), MoveFixture.MOVE, MoveState.DONE, "")
                .withGeneration(2);

        board.onConfiguration(done, at(clock));

        assertThat(versions("r"), contains(MoveFixture.NEW));
        assertThat(board.onTick(at(clock)), empty());
    }

    /** Sends requests for some seconds; those to the new version end in a given way, the others are answered. */
    private List<Action> traffic(int seconds, AttemptEnd endAtNew) {
        List<Action> actions = new ArrayList<>();
        long until = clock + seconds * 1_000L;
        while (clock < until) {
            clock += TICK_MILLIS;
            for (int i = 0; i < 4; i++) {
                String id = "t" + clock + "-" + i;
                VersionId version = versions(id).get(0);
                AttemptEnd end = version.equals(MoveFixture.NEW) ? endAtNew : AttemptEnd.ANSWERED;
                actions.addAll(board.onAttemptEnded(
                        MoveFixture.request(id), MoveFixture.server(version, i), MoveFixture.report(end), at(clock)));
            }
            actions.addAll(board.onTick(at(clock)));
        }
        return actions;
    }

    private int newOf(int requests) {
        int count = 0;
        for (int i = 0; i < requests; i++) {
            String id = "probe" + i;
            boolean toNew = versions(id).get(0).equals(MoveFixture.NEW);
            count += toNew ? 1 : 0;
            board.onAttemptEnded(
                    MoveFixture.request(id),
                    MoveFixture.server(MoveFixture.OLD, 0),
                    MoveFixture.report(AttemptEnd.DECLINED),
                    at(clock));
        }
        return count;
    }

    private String firstOfNew() {
        for (int i = 0; i < 100_000; i++) {
            if (versions("find" + i).get(0).equals(MoveFixture.NEW)) {
                return "find" + i;
            }
        }
        throw new AssertionError("no request goes to the new version");
    }

    private List<VersionId> versions(String id) {
        return board.versionsFor(MoveFixture.request(id), at(clock));
    }
}
