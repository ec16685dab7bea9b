package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.relay.ServersWanted.Count;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.relay.ScalingBounds;
import org.junit.jupiter.api.Test;

final class ServersWantedTest {
    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final ScalingBounds BOUNDS =
            new ScalingBounds(1, 4, 4_000, 0.22, Map.of(Calls.WEST, 0.85, Calls.EAST, 1.2, NORTH, 1.0));

    private static Map<DataCentreId, Count> decide(
            int needed, Map<DataCentreId, Count> present, Set<DataCentreId> out) {
        return ServersWanted.decide(new ServersWanted.Input(BOUNDS, needed, present, out));
    }

    private static Map<DataCentreId, Count> allPresent(int reclaimable) {
        Count count = new Count(1, reclaimable);
        return Map.of(Calls.WEST, count, Calls.EAST, count, NORTH, count);
    }

    @Test
    void keepsTheLeastLastingServersEverywhere() {
        decide(3, allPresent(0), Set.of()).values().forEach(count -> assertThat(count.lasting(), is(1)));
    }

    @Test
    void isEnoughAfterTheLossOfOneDataCentresReclaimableServers() {
        Map<DataCentreId, Count> wanted = decide(6, allPresent(2), Set.of());
        int total = wanted.values().stream().mapToInt(Count::total).sum();
        int loss = wanted.values().stream().mapToInt(Count::reclaimable).max().orElseThrow();

        assertThat(total - loss, greaterThanOrEqualTo(6));
    }

    @Test
    void ordersTheCheapestDataCentreFirst() {
        Map<DataCentreId, Count> wanted = decide(4, allPresent(2), Set.of());

        assertThat(
                wanted.get(Calls.WEST).reclaimable(),
                greaterThanOrEqualTo(wanted.get(Calls.EAST).reclaimable()));
    }

    @Test
    void letsLastingServersStandInForMissingReclaimableOnes() {
        Map<DataCentreId, Count> wanted = decide(6, allPresent(0), Set.of());
        int lasting = wanted.values().stream().mapToInt(Count::lasting).sum();

        assertThat(lasting, is(6));
    }

    @Test
    void ordersNothingMoreWhereNoNewWorkGoes() {
        Map<DataCentreId, Count> wanted = decide(6, allPresent(0), Set.of(Calls.WEST));

        assertThat(wanted.get(Calls.WEST), is(new Count(1, 0)));
    }

    @Test
    void neverExceedsTheBounds() {
        decide(100, allPresent(0), Set.of())
                .values()
                .forEach(count -> assertThat(count.lasting() <= 4 && count.reclaimable() <= 4, is(true)));
    }
}
