package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.api.Test;

/** Measures the load on backend servers that are cold, or become cold again without notice. */
final class ColdTrialTest {
    private static final double LAST_REQUEST_MILLIS = 50_000;
    private static final double[] TEAM_RATES = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final int CENTS_PER_HOUR = 80;

    @Test
    void startingServersAreNotOverloaded() {
        Trial trial = Trial.run("cold-start", Deployments.dunmore(), LAST_REQUEST_MILLIS, simulation -> {
            Workload.start(simulation, TEAM_RATES, 2, LAST_REQUEST_MILLIS);
            simulation.clock().at(20_000, () -> {
                for (int i = 0; i < 2; i++) {
                    DataCentreId dataCentre =
                            Deployments.dunmore().dataCentres().get(i);
                    simulation.addServer(
                            Deployments.server(
                                    "model-new-" + i,
                                    Deployments.MODEL,
                                    Deployments.INITIAL_VERSION,
                                    dataCentre,
                                    CENTS_PER_HOUR),
                            Behaviour.HEALTHY,
                            true);
                }
            });
            return _call -> true;
        });
        trial.printAll().print("warm-servers", Measures::warmServers);

        assertThat(Trial.maximum(trial.product(), Measures::overloads), equalTo(0.0));
        assertThat(Trial.maximum(trial.product(), Measures::lost), equalTo(0.0));
        assertThat(
                Trial.median(trial.product(), Measures::inTargetPercent),
                greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
    }

    @Test
    void serversThatBecomeColdAgainAreNotOverloaded() {
        Trial trial = Trial.run("cold-again", Deployments.dunmore(), LAST_REQUEST_MILLIS, simulation -> {
            Workload.start(simulation, TEAM_RATES, 2, LAST_REQUEST_MILLIS);
            simulation
                    .clock()
                    .at(25_000, () -> simulation.server(new ServerId("model-0")).becomeCold());
            return _call -> true;
        });
        trial.printAll()
                .print("late-cold-overloads", Measures::lateOverloads)
                .print("warm-servers", Measures::warmServers);

        assertThat(Trial.maximum(trial.product(), Measures::lateOverloads), equalTo(0.0));
        assertThat(Trial.maximum(trial.product(), Measures::lost), equalTo(0.0));
        assertThat(
                Trial.median(trial.product(), Measures::inTargetPercent),
                greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
    }
}
