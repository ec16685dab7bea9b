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

/** Decides how many backend servers of a service each data centre should have, and of which kind. */
@Decision(
        name = "servers-wanted",
        summary = "A service has as many reclaimable servers as the load needs after the loss of one data centre's, and"
                + " lasting ones in place of those that cannot be had.")
public final class ServersWanted {
    /**
     * Part of the needed servers that must be left after a loss where lasting ones have to stand in, at several times the
     * cost; with 0.6 two waves of reclaims 2 s apart left calls late for 8 s.
     */
    private static final double REMAINING_AFTER_LOSS_SHARE = 0.8;

    private ServersWanted() {}

    /**
     * Servers of a data centre.
     *
     * @param lasting servers that stay until they are given back
     * @param reclaimable servers that the cloud may take back
     */
    public record Count(int lasting, int reclaimable) {
        /** No servers. */
        public static final Count NONE = new Count(0, 0);

        /** Returns the number of both kinds together. */
        public int total() {
            return lasting + reclaimable;
        }

        private Count plusOnDemand() {
            return new Count(lasting + 1, reclaimable);
        }

        private Count plusReclaimable() {
            return new Count(lasting, reclaimable + 1);
        }
    }

    /**
     * What the decision rests on.
     *
     * @param bounds how many may be ordered and what they cost
     * @param needed servers that the load needs
     * @param present servers that serve now or were ordered a moment ago, by data centre
     * @param out data centres that take no new work
     * @param reclaimableExhausted data centres that have no reclaimable servers to give beside those that are present
     */
    public record Input(
            ScalingBounds bounds,
            int needed,
            Map<DataCentreId, Count> present,
            Set<DataCentreId> out,
            Set<DataCentreId> reclaimableExhausted) {
        /** Copies the collections. */
        public Input {
            present = Map.copyOf(present);
            out = Set.copyOf(out);
            reclaimableExhausted = Set.copyOf(reclaimableExhausted);
        }

        private int availableReclaimable(DataCentreId dc) {
            int here = present.getOrDefault(dc, Count.NONE).reclaimable();
            return reclaimableExhausted.contains(dc) ? Math.min(here, bounds.most()) : bounds.most();
        }

        private boolean mayAddReclaimable(DataCentreId dc, Count count) {
            return count.reclaimable() < availableReclaimable(dc);
        }
    }

    /**
     * Returns the servers wanted by data centre.
     *
     * @param input what the decision rests on
     */
    public static Map<DataCentreId, Count> decide(Input input) {
        ScalingBounds bounds = input.bounds();
        List<DataCentreId> cheapestFirst = new ArrayList<>(bounds.prices().keySet());
        cheapestFirst.sort(
                Comparator.<DataCentreId>comparingDouble(dc -> bounds.prices().get(dc))
                        .thenComparing(Comparator.naturalOrder()));
        Map<DataCentreId, Count> wanted = new LinkedHashMap<>();
        for (DataCentreId dc : cheapestFirst) {
            // The least number binds both kinds together, also where no new work goes.
            int reclaimable = Math.min(bounds.least(), input.availableReclaimable(dc));
            wanted.put(dc, new Count(bounds.least() - reclaimable, reclaimable));
        }
        fill(
                input,
                wanted,
                Count::plusReclaimable,
                input::mayAddReclaimable,
                () -> afterLoss(wanted, input.out()) >= input.needed());
        fill(
                input,
                wanted,
                Count::plusOnDemand,
                (_dc, _count) -> true,
                () -> usable(input, wanted) >= input.needed()
                        && afterLoss(wanted, input.out()) >= REMAINING_AFTER_LOSS_SHARE * input.needed());
        return wanted;
    }

    /** Adds servers, one a data centre in turn, until there are enough. */
    private static void fill(
            Input input,
            Map<DataCentreId, Count> wanted,
            UnaryOperator<Count> plusOne,
            BiPredicate<DataCentreId, Count> mayAdd,
            BooleanSupplier enough) {
        int most = input.bounds().most();
        for (int round = 0; round < most; round++) {
            for (DataCentreId dc : List.copyOf(wanted.keySet())) {
                if (enough.getAsBoolean()) {
                    return;
                }
                Count count = wanted.get(dc);
                if (!input.out().contains(dc) && count.total() < most && mayAdd.test(dc, count)) {
                    wanted.put(dc, plusOne.apply(count));
                }
            }
        }
    }

    private static int usable(Input input, Map<DataCentreId, Count> wanted) {
        return inUse(wanted, input.out()).stream().mapToInt(Count::total).sum();
    }

    /**
     * Returns the usable servers that are left once the data centre with the most reclaimable ones has lost them.
     *
     * @param servers servers by data centre
     * @param out data centres that take no new work
     */
    public static int afterLoss(Map<DataCentreId, Count> servers, Set<DataCentreId> out) {
        List<Count> inUse = inUse(servers, out);
        int total = inUse.stream().mapToInt(Count::total).sum();
        int loss = inUse.stream().mapToInt(Count::reclaimable).max().orElse(0);
        // A single data centre's loss could be covered by lasting servers only.
        return total - (inUse.size() < 2 ? 0 : loss);
    }

    private static List<Count> inUse(Map<DataCentreId, Count> servers, Set<DataCentreId> out) {
        return servers.entrySet().stream()
                .filter(e -> !out.contains(e.getKey()))
                .map(Map.Entry::getValue)
                .toList();
    }
}
