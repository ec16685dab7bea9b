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
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;

final class MoveControllerTest {
    private static final long DURATION_MILLIS = 600_000;
    private static final long TICK_MILLIS = 100;

    private final MoveController controller = new MoveController(new ProcessId("p0"));
    private long clock;

    MoveControllerTest() {
        controller.onConfiguration(MoveFixture.configuration(DURATION_MILLIS), at(0));
        controller.onFleet(MoveFixture.fleet(), at(0));
        MoveFixture.fleet().forEach(server -> controller.onWarmth(server.id(), true, at(0)));
    }

    @Test
    void sendsFewRequestsToNewVersionAtFirst() {
        sendTraffic(20, AttemptEnd.ANSWERED);

        assertThat(countAtNewVersion(1_000), lessThan(50));
    }

    @Test
    void sendsSomeRequestsToNewVersion() {
        sendTraffic(60, AttemptEnd.ANSWERED);

        assertThat(countAtNewVersion(2_000), greaterThan(0));
    }

    @Test
    void failuresRejectVersionAndStopItsTrafficImmediately() {
        List<Action> actions = sendTraffic(60, AttemptEnd.SERVER_ERROR);

        assertThat(actions, hasItem(instanceOf(Action.ShareBadVersion.class)));
        assertThat(actions, hasItem(instanceOf(Action.EndMove.class)));
        assertThat(countAtNewVersion(2_000), equalTo(0));
    }

    @Test
    void rejectionByAnotherProcessStopsTrafficToNewVersion() {
        sendTraffic(20, AttemptEnd.ANSWERED);

        controller.onBadVersions(
                List.of(new BadVersion(MoveFixture.MOVE, MoveFixture.SERVICE, MoveFixture.NEW, "fails")), at(clock));

        assertThat(countAtNewVersion(2_000), equalTo(0));
    }

    @Test
    void cancelledAttemptsAreNotCountedAsFailures() {
        List<Action> actions = sendTraffic(60, AttemptEnd.CANCELLED);

        assertThat(actions, not(hasItem(instanceOf(Action.ShareBadVersion.class))));
    }

    @Test
    void brokenConnectionsOfReclaimedServersAreNotCountedAsFailures() {
        List<Action> actions = new ArrayList<>(sendTraffic(20, AttemptEnd.ANSWERED));
        for (int i = 0; i < 4; i++) {
            actions.addAll(controller.onAttemptEnded(
                    MoveFixture.request("x" + i),
                    MoveFixture.server(MoveFixture.NEW, i),
                    MoveFixture.result(AttemptEnd.BROKEN),
                    at(clock)));
        }
        controller.onFleet(List.of(MoveFixture.server(MoveFixture.OLD, 0)), at(clock));
        actions.addAll(sendTraffic(20, AttemptEnd.ANSWERED));

        assertThat(actions, not(hasItem(instanceOf(Action.ShareBadVersion.class))));
    }

    @Test
    void retryOfRequestFailedAtNewVersionGoesToOldVersion() {
        sendTraffic(60, AttemptEnd.ANSWERED);
        String id = firstRequestAtNewVersion();

        controller.onAttemptEnded(
                MoveFixture.request(id),
                MoveFixture.server(MoveFixture.NEW, 0),
                MoveFixture.result(AttemptEnd.SERVER_ERROR),
                at(clock));

        assertThat(versionsOf(id), contains(MoveFixture.OLD));
    }

    @Test
    void repeatedCallReturnsSameVersions() {
        sendTraffic(60, AttemptEnd.ANSWERED);
        String id = firstRequestAtNewVersion();

        assertThat(versionsOf(id), equalTo(versionsOf(id)));
    }

    @Test
    void moveWithTooCloseDeadlineIsWithdrawn() {
        MoveController shortMove = new MoveController(new ProcessId("p1"));
        shortMove.onConfiguration(MoveFixture.configuration(30_000), at(0));
        shortMove.onFleet(MoveFixture.fleet(), at(0));

        List<Action> actions = new ArrayList<>();
        for (long t = 0; t < 5_000; t += TICK_MILLIS) {
            actions.addAll(shortMove.onTick(at(t)));
        }

        assertThat(
                actions,
                hasItem(new Action.EndMove(MoveFixture.MOVE, MoveState.WITHDRAWN, MoveEndRule.DEADLINE_TOO_CLOSE)));
    }

    @Test
    void completedMoveInConfigurationSelectsNewVersion() {
        Configuration done = MoveEndRecorder.apply(
                        MoveFixture.configuration(DURATION_MILLIS), MoveFixture.MOVE, MoveState.DONE, "")
                .withGeneration(2);

        controller.onConfiguration(done, at(clock));

        assertThat(versionsOf("r"), contains(MoveFixture.NEW));
        assertThat(controller.onTick(at(clock)), empty());
    }

    /** Sends requests for some seconds; requests to the new version end as specified, all others are answered. */
    private List<Action> sendTraffic(int seconds, AttemptEnd endAtNew) {
        List<Action> actions = new ArrayList<>();
        long until = clock + seconds * 1_000L;
        while (clock < until) {
            clock += TICK_MILLIS;
            for (int i = 0; i < 4; i++) {
                String id = "t" + clock + "-" + i;
                VersionId version = versionsOf(id).get(0);
                AttemptEnd end = version.equals(MoveFixture.NEW) ? endAtNew : AttemptEnd.ANSWERED;
                actions.addAll(controller.onAttemptEnded(
                        MoveFixture.request(id), MoveFixture.server(version, i), MoveFixture.result(end), at(clock)));
            }
            actions.addAll(controller.onTick(at(clock)));
        }
        return actions;
    }

    private int countAtNewVersion(int requests) {
        int count = 0;
        for (int i = 0; i < requests; i++) {
            String id = "probe" + i;
            boolean toNew = versionsOf(id).get(0).equals(MoveFixture.NEW);
            count += toNew ? 1 : 0;
            controller.onAttemptEnded(
                    MoveFixture.request(id),
                    MoveFixture.server(MoveFixture.OLD, 0),
                    MoveFixture.result(AttemptEnd.DECLINED),
                    at(clock));
        }
        return count;
    }

    private String firstRequestAtNewVersion() {
        for (int i = 0; i < 100_000; i++) {
            if (versionsOf("find" + i).get(0).equals(MoveFixture.NEW)) {
                return "find" + i;
            }
        }
        throw new AssertionError("no request goes to the new version");
    }

    private List<VersionId> versionsOf(String id) {
        return controller.versionsFor(MoveFixture.request(id), at(clock));
    }
}
