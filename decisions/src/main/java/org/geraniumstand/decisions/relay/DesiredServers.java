package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.relay.ScalingBounds;

/** Computes how many backend servers of each kind a service should have in each data centre. */
@Decision(
        name = "servers-wanted",
        summary = "A service has enough reclaimable servers to carry the load after one data centre loses its "
                + "reclaimable servers, and on-demand servers in place of unavailable reclaimable ones.")
public final class DesiredServers {
    /**
     * Fraction of the needed servers that must remain after a loss when on-demand servers, which cost several times as
     * much, replace reclaimable ones. With 0.6, two waves of reclaims 2 s apart made calls late for 8 s.
     */
    private static final double REMAINING_AFTER_LOSS_SHARE = 0.8;

    private DesiredServers() {}

    /**
     * Holds the number of servers of each kind in a data centre.
     *
     * @param onDemand on-demand servers, which run until they are released
     * @param reclaimable servers that the cloud may reclaim
     */
    public record Count(int onDemand, int reclaimable) {
        /** No servers of either kind. */
        public static final Count NONE = new Count(0, 0);

        /** Returns the number of servers of both kinds. */
        public int total() {
            return onDemand + reclaimable;
        }

        private Count plusOnDemand() {
            return new Count(onDemand + 1, reclaimable);
        }

        private Count plusReclaimable() {
            return new Count(onDemand, reclaimable + 1);
        }
    }

    /**
     * Holds the input of the computation.
     *
     * @param bounds minimum and maximum numbers of servers, and their prices
     * @param needed number of servers that the load requires
     * @param present servers that serve or were ordered recently, by data centre
     * @param dataCentresOut data centres that are out of service
     * @param reclaimableExhausted data centres that have no further reclaimable servers to offer
     */
    public record Input(
            ScalingBounds bounds,
            int needed,
            Map<DataCentreId, Count> present,
            Set<DataCentreId> dataCentresOut,
            Set<DataCentreId> reclaimableExhausted) {
        /** Makes defensive copies of the collections. */
        public Input {
            present = Map.copyOf(present);
            dataCentresOut = Set.copyOf(dataCentresOut);
            reclaimableExhausted = Set.copyOf(reclaimableExhausted);
        }

        private int availableReclaimable(DataCentreId dc) {
            int presentCount = present.getOrDefault(dc, Count.NONE).reclaimable();
            return reclaimableExhausted.contains(dc)
                    ? Math.min(presentCount, bounds.maxServers())
                    : bounds.maxServers();
        }

        private boolean mayAddReclaimable(DataCentreId dc, Count count) {
            return count.reclaimable() < availableReclaimable(dc);
        }
    }

    /**
     * Returns the number of servers that each data centre should have.
     *
     * @param input the input of the computation
     */
    public static Map<DataCentreId, Count> decide(Input input) {
        ScalingBounds bounds = input.bounds();
        List<DataCentreId> cheapestFirst = new ArrayList<>(bounds.prices().keySet());
        cheapestFirst.sort(
                Comparator.<DataCentreId>comparingDouble(dc -> bounds.prices().get(dc))
                        .thenComparing(Comparator.naturalOrder()));
        Map<DataCentreId, Count> desired = new LinkedHashMap<>();
        for (DataCentreId dc : cheapestFirst) {
            // The minimum applies to both kinds together, also in data centres that are out of service.
            int reclaimable = Math.min(bounds.minServers(), input.availableReclaimable(dc));
            desired.put(dc, new Count(bounds.minServers() - reclaimable, reclaimable));
        }
        fill(
                input,
                desired,
                Count::plusReclaimable,
                input::mayAddReclaimable,
                () -> remainingAfterLoss(desired, input.dataCentresOut()) >= input.needed());
        fill(
                input,
                desired,
                Count::plusOnDemand,
                (_dc, _count) -> true,
                () -> usable(input, desired) >= input.needed()
                        && remainingAfterLoss(desired, input.dataCentresOut())
                                >= REMAINING_AFTER_LOSS_SHARE * input.needed());
        return desired;
    }

    /** Adds servers round-robin over the data centres until there are enough. */
    private static void fill(
            Input input,
            Map<DataCentreId, Count> desired,
            UnaryOperator<Count> plusOne,
            BiPredicate<DataCentreId, Count> mayAdd,
            BooleanSupplier enough) {
        int most = input.bounds().maxServers();
        for (int round = 0; round < most; round++) {
            for (DataCentreId dc : List.copyOf(desired.keySet())) {
                if (enough.getAsBoolean()) {
                    return;
                }
                Count count = desired.get(dc);
                if (!input.dataCentresOut().contains(dc) && count.total() < most && mayAdd.test(dc, count)) {
                    desired.put(dc, plusOne.apply(count));
                }
            }
        }
    }

    private static int usable(Input input, Map<DataCentreId, Count> desired) {
        return inUse(desired, input.dataCentresOut()).stream()
                .mapToInt(Count::total)
                .sum();
    }

    /**
     * Returns the number of usable servers that remain after the data centre with the most reclaimable servers loses
     * them.
     *
     * @param servers servers by data centre
     * @param out data centres that are out of service
     */
    public static int remainingAfterLoss(Map<DataCentreId, Count> servers, Set<DataCentreId> out) {
        List<Count> inUse = inUse(servers, out);
        int total = inUse.stream().mapToInt(Count::total).sum();
        int loss = inUse.stream().mapToInt(Count::reclaimable).max().orElse(0);
        // With a single data centre, only on-demand servers could cover the loss, so no loss is subtracted.
        return total - (inUse.size() < 2 ? 0 : loss);
    }

    private static List<Count> inUse(Map<DataCentreId, Count> servers, Set<DataCentreId> out) {
        return servers.entrySet().stream()
                .filter(e -> !out.contains(e.getKey()))
                .map(Map.Entry::getValue)
                .toList();
    }
}
