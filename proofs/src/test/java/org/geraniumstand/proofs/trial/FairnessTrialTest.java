package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.geraniumstand.model.id.TeamId;
import org.junit.jupiter.api.Test;

/** Measures what a team that sends three times its share does to a small one. */
final class FairnessTrialTest {
    private static final double LAST_MILLIS = 60_000;
    private static final double SURGE_MILLIS = 20_000;
    private static final double MOST_FALL_POINTS = 2;

    /** The large team starts as much as all others together can; each of the five has the same weight. */
    private static final double LARGE = 0.8;

    private static final double[] TEAMS = {LARGE, 0.4, 0.1, 0.1, 0.1};
    private static final TeamId SMALL = Deployments.team(4);

    @Test
    void smallTeamKeepsItsService() {
        Trial quiet = run("fairness-quiet", 0);
        Trial loud = run("fairness-loud", 2 * LARGE);

        double before = Trial.median(quiet.product(), Measures::inTargetPercent);
        double after = Trial.median(loud.product(), Measures::inTargetPercent);
        assertThat(before - after, lessThan(MOST_FALL_POINTS));
    }

    private static Trial run(String name, double more) {
        return Trial.run(name, Deployments.dunmore(), LAST_MILLIS, world -> {
                    Workload callers = Workload.start(world, TEAMS, 2, LAST_MILLIS);
                    if (more > 0) {
                        callers.more(0, more, SURGE_MILLIS);
                    }
                    return call -> call.facts().team().equals(SMALL) && call.arrivedMillis() >= SURGE_MILLIS;
                })
                .print("small-team-in-target-percent", Measures::inTargetPercent)
                .print("small-team-refused-not-run", Measures::refusedNotRun)
                .print("engine-cost-per-1000-in-target", Measures::costPerThousand);
    }
}
