package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Measures cost at the latency target on an ordinary day. */
final class CostTrialTest {
    private static final double LAST_MILLIS = 60_000;
    private static final double[] DUNMORE_TEAMS = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final double[] HEARTHGUARD_TEAMS = {0.7, 0.5, 0.15, 0.15, 0.1};

    @Test
    void costsAQuarterLessAtDunmore() {
        costsAQuarterLess("cost-dunmore", Deployments.dunmore(), DUNMORE_TEAMS);
    }

    @Test
    void costsAQuarterLessAtHearthguard() {
        costsAQuarterLess("cost-hearthguard", Deployments.hearthguard(), HEARTHGUARD_TEAMS);
    }

    private static void costsAQuarterLess(String name, TrialSettings settings, double[] teams) {
        Trial trial = Trial.run(name, settings, LAST_MILLIS, world -> {
            Workload.start(world, teams, 2, LAST_MILLIS);
            return _call -> true;
        });
        trial.printAll();

        double cost = Trial.median(trial.product(), Measures::costPerThousand);
        double costBefore = Trial.median(trial.baseline(), Measures::costPerThousand);
        assertThat(cost, lessThanOrEqualTo(costBefore * 0.75));
        double inTarget = Trial.median(trial.product(), Measures::inTargetPercent);
        assertThat(inTarget, greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
        double recomputed = Trial.median(trial.product(), Measures::recomputedTokens);
        double recomputedBefore = Trial.median(trial.baseline(), Measures::recomputedTokens);
        assertThat(recomputed, lessThanOrEqualTo(recomputedBefore / 2));
        assertThat(Trial.most(trial.product(), Measures::untrue), equalTo(0.0));
        assertThat(Trial.most(trial.product(), Measures::ranTwice), equalTo(0.0));
        assertThat(Trial.most(trial.product(), Measures::lost), equalTo(0.0));
    }
}
