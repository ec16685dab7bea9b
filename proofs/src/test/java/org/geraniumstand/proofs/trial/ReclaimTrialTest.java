package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import java.util.function.Consumer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.junit.jupiter.api.Test;

/** Measures how reclaims, draining servers and data centres out of service affect requests. */
final class ReclaimTrialTest {
    private static final double LAST_REQUEST_MILLIS = 45_000;
    private static final double[] TEAM_RATES = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final double NOTICE_MILLIS = 8_000;
    private static final DataCentreId DATA_CENTRE_A = new DataCentreId("a");

    @Test
    void noRequestIsLostWhenOneHostIsReclaimed() {
        requireNoLoss(
                "reclaim-one",
                simulation -> simulation
                        .clock()
                        .at(25_000, () -> simulation.reclaim(new HostId("host-model-0"), NOTICE_MILLIS)));
    }

    @Test
    void noRequestIsLostWhenDataCentreIsReclaimed() {
        requireNoLoss(
                "reclaim-data-centre",
                simulation -> simulation.clock().at(25_000, () -> reclaimDataCentre(simulation, DATA_CENTRE_A)));
    }

    @Test
    void noRequestIsLostWhenTwoReclaimWavesOverlap() {
        requireNoLoss("reclaim-two-waves", simulation -> {
            simulation.clock().at(25_000, () -> reclaimDataCentre(simulation, DATA_CENTRE_A));
            simulation.clock().at(28_000, () -> simulation.reclaim(new HostId("host-model-1"), NOTICE_MILLIS));
        });
    }

    @Test
    void noRequestIsLostWhenDataCentreIsTakenOutOfService() {
        requireNoLoss(
                "data-centre-out",
                simulation -> simulation
                        .clock()
                        .at(
                                25_000,
                                () -> simulation.configure(
                                        simulation.configuration().withDataCentresOut(Set.of(DATA_CENTRE_A)))));
    }

    @Test
    void noRequestIsLostWhenServersDrain() {
        requireNoLoss(
                "leaving",
                simulation -> simulation
                        .clock()
                        .at(
                                25_000,
                                () -> simulation.servers().stream()
                                        .filter(s -> s.listed().dataCentre().equals(DATA_CENTRE_A))
                                        .forEach(s -> s.setListed(Deployments.withDraining(s.listed())))));
    }

    private static void reclaimDataCentre(TrialSimulation simulation, DataCentreId dataCentreId) {
        simulation.servers().stream()
                .map(FakeServer::listed)
                .filter(s -> s.dataCentre().equals(dataCentreId))
                .forEach(s -> simulation.reclaim(s.host(), NOTICE_MILLIS));
    }

    private static void requireNoLoss(String name, Consumer<TrialSimulation> events) {
        Trial trial = Trial.run(name, Deployments.dunmore(), LAST_REQUEST_MILLIS, simulation -> {
            Workload.start(simulation, TEAM_RATES, 2, LAST_REQUEST_MILLIS);
            events.accept(simulation);
            return _call -> true;
        });
        trial.printAll();

        assertThat(Trial.maximum(trial.product(), Measures::lost), equalTo(0.0));
        assertThat(Trial.maximum(trial.product(), Measures::lateDispatches), equalTo(0.0));
        assertThat(Trial.maximum(trial.product(), Measures::falseRefusals), equalTo(0.0));
        assertThat(Trial.maximum(trial.product(), Measures::ranTwice), equalTo(0.0));
    }
}
