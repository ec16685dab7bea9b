package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.decisions.TrafficController;
import org.junit.jupiter.api.Test;

/** Checks that a trial repeats itself and loses no request of its own accord. */
final class TrialWorldTest {
    private static final double LAST_MILLIS = 10_000;
    private static final double[] TEAMS = {0.5, 0.4, 0.1, 0.1, 0.1};

    @Test
    void sameSeedGivesSameMeasures() {
        assertThat(measure(7), equalTo(measure(7)));
    }

    @Test
    void everyRequestComesToAnEnd() {
        TrialWorld world = run(3);

        List<Boolean> ended = world.calls().stream().map(Call::ended).toList();
        assertThat(ended, everyItem(is(true)));
    }

    private static Measures measure(long seed) {
        return Measures.of(run(seed), _call -> true);
    }

    private static TrialWorld run(long seed) {
        TrialWorld world =
                new TrialWorld(Deployments.dunmore(), (self, _count) -> new TrafficController(self)::handle, seed);
        Workload.start(world, TEAMS, 2, LAST_MILLIS);
        world.start();
        world.clock().runUntil(LAST_MILLIS + Trial.DRAIN_MILLIS);
        return world;
    }
}
