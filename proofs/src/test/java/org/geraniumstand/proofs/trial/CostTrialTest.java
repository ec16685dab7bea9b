package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Measures the cost of answers within the latency targets under ordinary load. */
final class CostTrialTest {
    private static final double LAST_REQUEST_MILLIS = 60_000;
    private static final double[] DUNMORE_TEAM_RATES = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final double[] HEARTHGUARD_TEAM_RATES = {0.7, 0.5, 0.15, 0.15, 0.1};

    @Test
    void costIsAQuarterBelowBaselineAtDunmore() {
        requireCostAQuarterBelowBaseline("cost-dunmore", Deployments.dunmore(), DUNMORE_TEAM_RATES);
    }

    @Test
    void costIsAQuarterBelowBaselineAtHearthguard() {
        requireCostAQuarterBelowBaseline("cost-hearthguard", Deployments.hearthguard(), HEARTHGUARD_TEAM_RATES);
    }

    private static void requireCostAQuarterBelowBaseline(String name, TrialSettings settings, double[] teams) {
        Trial trial = Trial.run(name, settings, LAST_REQUEST_MILLIS, simulation -> {
            Workload.start(simulation, teams, 2, LAST_REQUEST_MILLIS);
            return _call -> true;
        });
        trial.printAll();

        double cost = Trial.median(trial.product(), Measures::engineCostPerThousand);
        double baselineCost = Trial.median(trial.baseline(), Measures::engineCostPerThousand);
        assertThat(cost, lessThanOrEqualTo(baselineCost * 0.75));
        double inTarget = Trial.median(trial.product(), Measures::inTargetPercent);
        assertThat(inTarget, greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
        double recomputed = Trial.median(trial.product(), Measures::recomputedTokens);
        double baselineRecomputed = Trial.median(trial.baseline(), Measures::recomputedTokens);
        assertThat(recomputed, lessThanOrEqualTo(baselineRecomputed / 2));
        assertThat(Trial.maximum(trial.product(), Measures::falseRefusals), equalTo(0.0));
        assertThat(Trial.maximum(trial.product(), Measures::ranTwice), equalTo(0.0));
        assertThat(Trial.maximum(trial.product(), Measures::lost), equalTo(0.0));
    }
}
