package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.relay.DesiredServers.Count;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.relay.ScalingBounds;
import org.junit.jupiter.api.Test;

final class OnDemandRetentionTest {
    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final ScalingBounds BOUNDS =
            new ScalingBounds(1, 8, 4_000, 0.22, Map.of(Calls.WEST, 0.85, Calls.EAST, 1.2, NORTH, 1.0));
    private static final Map<DataCentreId, Integer> TWO_EACH = Map.of(Calls.WEST, 2, Calls.EAST, 2, NORTH, 2);

    private static Map<DataCentreId, Count> reclaimable(int west, int east, int north) {
        return Map.of(Calls.WEST, new Count(0, west), Calls.EAST, new Count(0, east), NORTH, new Count(0, north));
    }

    private static Map<DataCentreId, Integer> decide(
            Map<DataCentreId, Count> serving, Map<DataCentreId, Integer> onDemand) {
        DesiredServers.Input input = new DesiredServers.Input(BOUNDS, 6, reclaimable(0, 0, 0), Set.of(), Set.of());
        return OnDemandRetention.decide(input, DesiredServers.decide(input), serving, onDemand);
    }

    @Test
    void keepsAllWhileNoReplacementServes() {
        assertThat(decide(reclaimable(0, 0, 0), TWO_EACH), is(TWO_EACH));
    }

    @Test
    void releasesAllOnceReplacementsServe() {
        assertThat(decide(reclaimable(3, 3, 3), TWO_EACH), is(Map.of(Calls.WEST, 0, Calls.EAST, 0, NORTH, 0)));
    }

    /** A wave of reclaims is over, but fewer reclaimable servers return than were ordered. */
    @Test
    void releasesMostExpensiveFirstWhileReplacementsAreMissing() {
        assertThat(decide(reclaimable(3, 1, 1), TWO_EACH), is(Map.of(Calls.WEST, 2, Calls.EAST, 0, NORTH, 1)));
    }

    @Test
    void ordersDesiredServers() {
        Map<DataCentreId, Count> desired =
                Map.of(Calls.WEST, new Count(3, 0), Calls.EAST, new Count(0, 1), NORTH, new Count(0, 1));

        assertThat(
                OnDemandRetention.decide(
                                new DesiredServers.Input(BOUNDS, 3, reclaimable(0, 1, 1), Set.of(), Set.of()),
                                desired,
                                reclaimable(0, 1, 1),
                                Map.of())
                        .get(Calls.WEST),
                is(3));
    }
}
