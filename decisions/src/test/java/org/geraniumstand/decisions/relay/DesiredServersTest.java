package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.relay.DesiredServers.Count;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.relay.ScalingBounds;
import org.junit.jupiter.api.Test;

final class DesiredServersTest {
    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final ScalingBounds BOUNDS =
            new ScalingBounds(1, 4, 4_000, 0.22, Map.of(Calls.WEST, 0.85, Calls.EAST, 1.2, NORTH, 1.0));

    private static final Set<DataCentreId> ALL = Set.of(Calls.WEST, Calls.EAST, NORTH);

    private static Map<DataCentreId, Count> decide(
            int needed, Map<DataCentreId, Count> present, Set<DataCentreId> out) {
        return decide(needed, present, out, Set.of());
    }

    private static Map<DataCentreId, Count> decide(
            int needed,
            Map<DataCentreId, Count> present,
            Set<DataCentreId> out,
            Set<DataCentreId> reclaimableExhausted) {
        return DesiredServers.decide(new DesiredServers.Input(BOUNDS, needed, present, out, reclaimableExhausted));
    }

    private static int totalOnDemand(Map<DataCentreId, Count> desired) {
        return desired.values().stream().mapToInt(Count::onDemand).sum();
    }

    private static Map<DataCentreId, Count> allPresent(int reclaimable) {
        Count count = new Count(1, reclaimable);
        return Map.of(Calls.WEST, count, Calls.EAST, count, NORTH, count);
    }

    @Test
    void hasMinimumInEveryDataCentre() {
        decide(1, allPresent(0), Set.of()).values().forEach(count -> assertThat(count.total(), is(1)));
    }

    /**
     * The minimum applies to both kinds together, and an on-demand server costs several times as much as a reclaimable
     * one.
     */
    @Test
    void hasNoOnDemandServersWhileReclaimableOnesAreAvailable() {
        assertThat(totalOnDemand(decide(4, allPresent(0), Set.of())), is(0));
    }

    /** The cloud reclaims the servers of one data centre; those of the next follow within seconds. */
    @Test
    void survivesNextLossWithoutAvailableReclaimableServers() {
        for (int needed = 1; needed <= 8; needed++) {
            Map<DataCentreId, Count> present =
                    Map.of(Calls.WEST, new Count(0, 0), Calls.EAST, new Count(0, 3), NORTH, new Count(0, 2));
            Map<DataCentreId, Count> desired = decide(needed, present, Set.of(), ALL);
            int reclaimable =
                    desired.values().stream().mapToInt(Count::reclaimable).sum();
            int loss =
                    desired.values().stream().mapToInt(Count::reclaimable).max().orElseThrow();

            assertThat(totalOnDemand(desired) + reclaimable, greaterThanOrEqualTo(needed));
            assertThat(
                    totalOnDemand(desired) + reclaimable - loss, greaterThanOrEqualTo((int) Math.ceil(0.8 * needed)));
        }
    }

    @Test
    void ordersReclaimableServersInOtherDataCentres() {
        Map<DataCentreId, Count> present =
                Map.of(Calls.WEST, new Count(0, 0), Calls.EAST, new Count(0, 2), NORTH, new Count(0, 2));
        Map<DataCentreId, Count> desired = decide(4, present, Set.of(), Set.of(Calls.WEST));

        assertThat(desired.get(Calls.WEST), is(new Count(1, 0)));
        assertThat(desired.get(Calls.EAST), is(new Count(0, 3)));
        assertThat(desired.get(NORTH), is(new Count(0, 3)));
    }

    @Test
    void hasNoSpareServersInSingleDataCentre() {
        ScalingBounds one = new ScalingBounds(1, 60, 4_000, 0.22, Map.of(Calls.WEST, 0.85));

        assertThat(
                DesiredServers.decide(new DesiredServers.Input(one, 5, Map.of(), Set.of(), Set.of())),
                is(Map.of(Calls.WEST, new Count(0, 5))));
    }

    @Test
    void sufficesAfterLossOfReclaimableServersInOneDataCentre() {
        Map<DataCentreId, Count> desired = decide(6, allPresent(2), Set.of());
        int total = desired.values().stream().mapToInt(Count::total).sum();
        int loss = desired.values().stream().mapToInt(Count::reclaimable).max().orElseThrow();

        assertThat(total - loss, greaterThanOrEqualTo(6));
    }

    @Test
    void ordersInCheapestDataCentreFirst() {
        Map<DataCentreId, Count> desired = decide(4, allPresent(2), Set.of());

        assertThat(
                desired.get(Calls.WEST).reclaimable(),
                greaterThanOrEqualTo(desired.get(Calls.EAST).reclaimable()));
    }

    @Test
    void replacesMissingReclaimableServersByOnDemandOnes() {
        assertThat(totalOnDemand(decide(6, allPresent(0), Set.of(), ALL)), is(6));
    }

    @Test
    void ordersNoMoreThanMinimumOutOfService() {
        Map<DataCentreId, Count> desired = decide(6, allPresent(0), Set.of(Calls.WEST));

        assertThat(desired.get(Calls.WEST), is(new Count(0, 1)));
    }

    @Test
    void neverExceedsMaximum() {
        decide(100, allPresent(0), Set.of()).values().forEach(count -> assertThat(count.total() <= 4, is(true)));
    }
}
