package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.geraniumstand.model.id.TeamId;
import org.junit.jupiter.api.Test;

/** Measures how a team that sends three times its share affects a small team's requests. */
final class FairnessTrialTest {
    private static final double LAST_REQUEST_MILLIS = 60_000;
    private static final double SURGE_MILLIS = 20_000;
    private static final double MAX_DROP_POINTS = 2;

    /** Conversations per second of the large team, about as many as all others together; all five weigh the same. */
    private static final double LARGE_TEAM_RATE = 0.8;

    private static final double[] TEAM_RATES = {LARGE_TEAM_RATE, 0.4, 0.1, 0.1, 0.1};
    private static final TeamId SMALL_TEAM = Deployments.team(4);

    @Test
    void smallTeamKeepsItsService() {
        Trial withoutSurge = run("fairness-quiet", 0);
        Trial withSurge = run("fairness-loud", 2 * LARGE_TEAM_RATE);

        double before = Trial.median(withoutSurge.product(), Measures::inTargetPercent);
        double after = Trial.median(withSurge.product(), Measures::inTargetPercent);
        assertThat(before - after, lessThan(MAX_DROP_POINTS));
    }

    private static Trial run(String name, double additionalPerSecond) {
        return Trial.run(name, Deployments.dunmore(), LAST_REQUEST_MILLIS, simulation -> {
                    Workload callers = Workload.start(simulation, TEAM_RATES, 2, LAST_REQUEST_MILLIS);
                    if (additionalPerSecond > 0) {
                        callers.addConversations(0, additionalPerSecond, SURGE_MILLIS);
                    }
                    return call -> call.requestInfo().team().equals(SMALL_TEAM) && call.arrivedMillis() >= SURGE_MILLIS;
                })
                .print("small-team-in-target-percent", Measures::inTargetPercent)
                .print("small-team-refused-not-run", Measures::refusedNotRun)
                .print("engine-cost-per-1000-in-target", Measures::engineCostPerThousand);
    }
}
