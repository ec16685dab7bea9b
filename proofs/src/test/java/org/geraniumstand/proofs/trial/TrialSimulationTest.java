package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.decisions.TrafficController;
import org.junit.jupiter.api.Test;

/** Checks that a trial is deterministic for a seed and that all its requests end. */
final class TrialSimulationTest {
    private static final double LAST_REQUEST_MILLIS = 10_000;
    private static final double[] TEAM_RATES = {0.5, 0.4, 0.1, 0.1, 0.1};

    @Test
    void sameSeedGivesSameMeasures() {
        assertThat(measure(7), equalTo(measure(7)));
    }

    @Test
    void everyRequestComesToAnEnd() {
        TrialSimulation simulation = run(3);

        List<Boolean> ended = simulation.calls().stream().map(Call::ended).toList();
        assertThat(ended, everyItem(is(true)));
    }

    private static Measures measure(long seed) {
        return Measures.of(run(seed), _call -> true);
    }

    private static TrialSimulation run(long seed) {
        TrialSimulation simulation =
                new TrialSimulation(Deployments.dunmore(), (self, _count) -> new TrafficController(self)::handle, seed);
        Workload.start(simulation, TEAM_RATES, 2, LAST_REQUEST_MILLIS);
        simulation.start();
        simulation.clock().runUntil(LAST_REQUEST_MILLIS + Trial.DRAIN_MILLIS);
        return simulation;
    }
}
