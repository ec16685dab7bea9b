package org.geraniumstand.proofs.moves;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.geraniumstand.model.config.MoveState;
import org.junit.jupiter.api.Test;

/** Measures version moves in virtual time, at the size of a present-day service, against a linear ramp. */
final class MoveTrialTest {
    private static final int SEEDS = 20;
    private static final int MANY_SEEDS = 200;
    private static final int SHORT_MINUTES = 3;
    private static final int MINUTES = 10;
    private static final int LONG_MINUTES = 24;
    private static final double MAX_NEW_PERCENT = 2;

    @Test
    void goodVersionCompletes() throws InterruptedException {
        requireDone(Trials.run("good", Scenario.of(MINUTES, Behaviour.HEALTHY), SEEDS), 0);
    }

    @Test
    void goodVersionIsWithdrawnInAtMostOneOfTwoHundredRuns() throws InterruptedException {
        List<List<MoveResult>> results =
                Trials.run("good-short", Scenario.of(SHORT_MINUTES, Behaviour.HEALTHY), MANY_SEEDS);

        long withdrawn =
                results.stream().filter(r -> r.get(0).state != MoveState.DONE).count();
        assertThat(withdrawn, lessThanOrEqualTo(1L));
    }

    @Test
    void versionFailingFromStartIsWithdrawn() throws InterruptedException {
        requireWithdrawn(Trials.run("failing-at-once", Scenario.of(MINUTES, Behaviour.failing(0.3)), SEEDS), 0);
    }

    @Test
    void versionFailingFivePercentOfRequestsIsWithdrawn() throws InterruptedException {
        requireWithdrawn(Trials.run("failing-5-percent", Scenario.of(LONG_MINUTES, Behaviour.failing(0.05)), SEEDS), 0);
    }

    @Test
    void slowVersionIsWithdrawn() throws InterruptedException {
        requireWithdrawn(Trials.run("slow-at-once", Scenario.of(MINUTES, Behaviour.slow(2)), SEEDS), 0);
    }

    @Test
    void versionFailingAfterTenMinutesIsWithdrawn() throws InterruptedException {
        Behaviour behaviour = Behaviour.failingAfter(10 * Scenario.MINUTE, 0.3);
        requireWithdrawn(Trials.run("failing-after-10-minutes", Scenario.of(LONG_MINUTES, behaviour), SEEDS), 0);
    }

    @Test
    void versionSlowUnderLoadIsWithdrawn() throws InterruptedException {
        Behaviour behaviour = Behaviour.slowUnderLoad(0.3, 2);
        requireWithdrawn(Trials.run("slow-under-load", Scenario.of(LONG_MINUTES, behaviour), SEEDS), 0);
    }

    @Test
    void versionFailingOnOneRouteIsWithdrawn() throws InterruptedException {
        Behaviour behaviour = Behaviour.failingOn("quote", 0.5);
        requireWithdrawn(Trials.run("bad-on-one-route", Scenario.of(MINUTES, behaviour), SEEDS), 0);
    }

    @Test
    void goodVersionOnColdServersCompletes() throws InterruptedException {
        requireDone(
                Trials.run(
                        "cold-new-servers",
                        Scenario.of(MINUTES, Behaviour.HEALTHY).withColdNewServers(),
                        SEEDS),
                0);
    }

    @Test
    void slowVersionOnColdServersIsWithdrawn() throws InterruptedException {
        requireWithdrawn(
                Trials.run(
                        "cold-and-slow", Scenario.of(MINUTES, Behaviour.slow(2)).withColdNewServers(), SEEDS),
                0);
    }

    @Test
    void goodVersionCompletesWhileStoreIsDown() throws InterruptedException {
        long half = MINUTES * Scenario.MINUTE / 2;
        Scenario scenario = Scenario.of(MINUTES, Behaviour.HEALTHY).storeDown(half, 4 * half);

        requireDone(Trials.run("store-out-good", scenario, SEEDS), 0);
    }

    @Test
    void badVersionIsWithdrawnWhileStoreIsDown() throws InterruptedException {
        long half = LONG_MINUTES * Scenario.MINUTE / 2;
        Behaviour behaviour = Behaviour.slowUnderLoad(0.3, 2);
        Scenario scenario = Scenario.of(LONG_MINUTES, behaviour).storeDown(half, 4 * half);

        requireWithdrawn(Trials.run("store-out-bad", scenario, SEEDS), 0);
    }

    @Test
    void concurrentMovesAreDecidedIndependently() throws InterruptedException {
        List<List<MoveResult>> results =
                Trials.run("two-moves", Scenario.of(MINUTES, Behaviour.HEALTHY, Behaviour.failing(0.3)), SEEDS);

        requireDone(results, 0);
        requireWithdrawn(results, 1);
    }

    @Test
    void moveEndsWhenOperatorWithdrawsIt() throws InterruptedException {
        Scenario scenario =
                Scenario.of(MINUTES, Behaviour.HEALTHY).withOperatorWithdrawalAt(5 * Scenario.MINUTE + 20_000);

        for (List<MoveResult> result : Trials.run("operator-withdraws", scenario, SEEDS)) {
            assertThat(result.get(0).state, equalTo(MoveState.WITHDRAWN));
            assertThat(result.get(0).afterEnd, equalTo(0L));
        }
    }

    @Test
    void moveWithTooShortDeadlineIsWithdrawnWithoutTraffic() throws InterruptedException {
        Scenario scenario = Scenario.of(1, Behaviour.HEALTHY);

        for (List<MoveResult> result : Trials.run("deadline-too-close", scenario, SEEDS)) {
            assertThat(result.get(0).state, equalTo(MoveState.WITHDRAWN));
            assertThat(result.get(0).toNew, equalTo(0L));
        }
    }

    @Test
    void goodVersionCompletesDuringDataCentreOutageReclaimsAndRestarts() throws InterruptedException {
        requireDone(
                Trials.run("disturbed", Scenario.of(MINUTES, Behaviour.HEALTHY).withFaults(), SEEDS), 0);
    }

    private static void requireDone(List<List<MoveResult>> results, int move) {
        for (List<MoveResult> result : results) {
            assertThat(result.get(move).reason, result.get(move).state, equalTo(MoveState.DONE));
            assertThat(result.get(move).agreed, equalTo(true));
            assertThat(result.get(move).afterEnd, equalTo(0L));
        }
    }

    private static void requireWithdrawn(List<List<MoveResult>> results, int move) {
        for (List<MoveResult> result : results) {
            assertThat(result.get(move).state, equalTo(MoveState.WITHDRAWN));
            assertThat(result.get(move).agreed, equalTo(true));
            assertThat(result.get(move).afterVisible, equalTo(0L));
            assertThat(result.get(move).newPercent(), lessThanOrEqualTo(MAX_NEW_PERCENT));
        }
    }
}
