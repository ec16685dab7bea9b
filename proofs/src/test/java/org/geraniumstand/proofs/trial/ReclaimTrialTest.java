package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Set;
import java.util.function.Consumer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.junit.jupiter.api.Test;

/** Measures what reclaims and data centres that leave cost the callers. */
final class ReclaimTrialTest {
    private static final double LAST_MILLIS = 45_000;
    private static final double[] TEAMS = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final double NOTICE_MILLIS = 8_000;
    private static final DataCentreId CENTRE_A = new DataCentreId("a");

    @Test
    void losesNothingWhenOneHostIsReclaimed() {
        check(
                "reclaim-one",
                world -> world.clock().at(25_000, () -> world.reclaim(new HostId("host-model-0"), NOTICE_MILLIS)));
    }

    @Test
    void losesNothingWhenADataCentreIsReclaimed() {
        check("reclaim-data-centre", world -> world.clock().at(25_000, () -> reclaimCentre(world, CENTRE_A)));
    }

    @Test
    void losesNothingWhenTwoWavesComeTogether() {
        check("reclaim-two-waves", world -> {
            world.clock().at(25_000, () -> reclaimCentre(world, CENTRE_A));
            world.clock().at(28_000, () -> world.reclaim(new HostId("host-model-1"), NOTICE_MILLIS));
        });
    }

    @Test
    void losesNothingWhenADataCentreIsTakenOut() {
        check(
                "data-centre-out",
                world -> world.clock()
                        .at(25_000, () -> world.configure(world.configuration().withDataCentresOut(Set.of(CENTRE_A)))));
    }

    @Test
    void losesNothingWhenServersLeave() {
        check(
                "leaving",
                world -> world.clock()
                        .at(
                                25_000,
                                () -> world.servers().stream()
                                        .filter(s -> s.listed().dataCentre().equals(CENTRE_A))
                                        .forEach(s -> s.list(Deployments.leaving(s.listed())))));
    }

    private static void reclaimCentre(TrialWorld world, DataCentreId centre) {
        world.servers().stream()
                .map(FakeServer::listed)
                .filter(s -> s.dataCentre().equals(centre))
                .forEach(s -> world.reclaim(s.host(), NOTICE_MILLIS));
    }

    private static void check(String name, Consumer<TrialWorld> events) {
        Trial trial = Trial.run(name, Deployments.dunmore(), LAST_MILLIS, world -> {
            Workload.start(world, TEAMS, 2, LAST_MILLIS);
            events.accept(world);
            return _call -> true;
        });
        trial.printAll();

        assertThat(Trial.most(trial.product(), Measures::lost), equalTo(0.0));
        assertThat(Trial.most(trial.product(), Measures::lateWork), equalTo(0.0));
        assertThat(Trial.most(trial.product(), Measures::untrue), equalTo(0.0));
        assertThat(Trial.most(trial.product(), Measures::ranTwice), equalTo(0.0));
    }
}
