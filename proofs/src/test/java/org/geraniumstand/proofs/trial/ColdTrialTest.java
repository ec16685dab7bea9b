package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.api.Test;

/** Measures the load on backend servers that are cold, or turn cold again without warning. */
final class ColdTrialTest {
    private static final double LAST_MILLIS = 50_000;
    private static final double[] TEAMS = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final int CHEAP_CENTS = 80;

    @Test
    void neverOverloadsServersThatStart() {
        Trial trial = Trial.run("cold-start", Deployments.dunmore(), LAST_MILLIS, world -> {
            Workload.start(world, TEAMS, 2, LAST_MILLIS);
            world.clock().at(20_000, () -> {
                for (int i = 0; i < 2; i++) {
                    DataCentreId centre = Deployments.dunmore().dataCentres().get(i);
                    world.addServer(
                            Deployments.server(
                                    "model-new-" + i, Deployments.MODEL, Deployments.FIRST, centre, CHEAP_CENTS),
                            Behaviour.GOOD,
                            true);
                }
            });
            return _call -> true;
        });
        trial.printAll().print("warm-servers", Measures::warmServers);

        assertThat(Trial.most(trial.product(), Measures::overloads), equalTo(0.0));
        assertThat(Trial.most(trial.product(), Measures::lost), equalTo(0.0));
        assertThat(
                Trial.median(trial.product(), Measures::inTargetPercent),
                greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
    }

    @Test
    void leavesServersAloneThatTurnColdAgain() {
        Trial trial = Trial.run("cold-again", Deployments.dunmore(), LAST_MILLIS, world -> {
            Workload.start(world, TEAMS, 2, LAST_MILLIS);
            world.clock().at(25_000, () -> world.server(new ServerId("model-0")).turnCold());
            return _call -> true;
        });
        trial.printAll()
                .print("late-cold-overloads", Measures::lateOverloads)
                .print("warm-servers", Measures::warmServers);

        assertThat(Trial.most(trial.product(), Measures::lateOverloads), equalTo(0.0));
        assertThat(Trial.most(trial.product(), Measures::lost), equalTo(0.0));
        assertThat(
                Trial.median(trial.product(), Measures::inTargetPercent),
                greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
    }
}
