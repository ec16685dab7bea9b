package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.relay.ScalingBounds;

/** Decides how many backend servers of a service each data centre should have, and of which kind. */
@Decision(
        name = "servers-wanted",
        summary = "A service has its least number of lasting servers in each data centre, and as many reclaimable ones"
                + " beside them as the load needs after the loss of one data centre's; lasting ones stand in for"
                + " reclaimable ones that cannot be had.")
public final class ServersWanted {
    private ServersWanted() {}

    /**
     * Servers of a data centre.
     *
     * @param lasting servers that stay until they are given back
     * @param reclaimable servers that the cloud may take back
     */
    public record Count(int lasting, int reclaimable) {
        /** Returns the number of both kinds together. */
        public int total() {
            return lasting + reclaimable;
        }
    }

    /**
     * What the decision rests on.
     *
     * @param bounds how many may be ordered and what they cost
     * @param needed servers that the load needs
     * @param present servers that serve now or were ordered a moment ago, by data centre
     * @param out data centres that take no new work
     */
    public record Input(ScalingBounds bounds, int needed, Map<DataCentreId, Count> present, Set<DataCentreId> out) {
        /** Copies the collections. */
        public Input {
            present = Map.copyOf(present);
            out = Set.copyOf(out);
        }
    }

    /**
     * Returns the servers wanted by data centre.
     *
     * @param input what the decision rests on
     */
    public static Map<DataCentreId, Count> decide(Input input) {
        ScalingBounds bounds = input.bounds();
        List<DataCentreId> cheapFirst = new ArrayList<>(bounds.prices().keySet());
        cheapFirst.sort(
                Comparator.<DataCentreId>comparingDouble(dc -> bounds.prices().get(dc))
                        .thenComparing(Comparator.naturalOrder()));
        Map<DataCentreId, Integer> lasting = new TreeMap<>();
        Map<DataCentreId, Integer> reclaimable = new TreeMap<>();
        for (DataCentreId dc : cheapFirst) {
            lasting.put(dc, bounds.least());
            reclaimable.put(dc, 0);
        }
        spread(cheapFirst, input, lasting, reclaimable);
        cover(cheapFirst, input, lasting, reclaimable);
        Map<DataCentreId, Count> wanted = new TreeMap<>();
        for (DataCentreId dc : cheapFirst) {
            wanted.put(dc, new Count(lasting.get(dc), reclaimable.get(dc)));
        }
        return wanted;
    }

    /** Adds reclaimable servers, one a data centre in turn, until the rest is enough if one data centre loses its own. */
    private static void spread(
            List<DataCentreId> cheapFirst,
            Input input,
            Map<DataCentreId, Integer> lasting,
            Map<DataCentreId, Integer> reclaimable) {
        int most = input.bounds().most();
        for (int round = 0; round < most; round++) {
            for (DataCentreId dc : cheapFirst) {
                if (afterLoss(input, lasting, reclaimable) >= input.needed()) {
                    return;
                }
                if (!input.out().contains(dc) && lasting.get(dc) + reclaimable.get(dc) < most) {
                    reclaimable.merge(dc, 1, Integer::sum);
                }
            }
        }
    }

    private static int afterLoss(
            Input input, Map<DataCentreId, Integer> lasting, Map<DataCentreId, Integer> reclaimable) {
        int usable = 0;
        int loss = 0;
        for (Map.Entry<DataCentreId, Integer> entry : reclaimable.entrySet()) {
            if (!input.out().contains(entry.getKey())) {
                usable += entry.getValue() + lasting.get(entry.getKey());
                loss = Math.max(loss, entry.getValue());
            }
        }
        return usable - loss;
    }

    /** Orders lasting servers where reclaimable ones are missing and the load needs them. */
    private static void cover(
            List<DataCentreId> cheapFirst,
            Input input,
            Map<DataCentreId, Integer> lasting,
            Map<DataCentreId, Integer> reclaimable) {
        int expected = 0;
        for (DataCentreId dc : cheapFirst) {
            if (input.out().contains(dc)) {
                continue;
            }
            int present = input.present().getOrDefault(dc, new Count(0, 0)).reclaimable();
            expected += lasting.get(dc) + Math.min(present, reclaimable.get(dc));
        }
        for (int round = 0; round < input.bounds().most(); round++) {
            for (DataCentreId dc : cheapFirst) {
                boolean room =
                        lasting.get(dc) + reclaimable.get(dc) < input.bounds().most();
                if (expected < input.needed() && room && !input.out().contains(dc)) {
                    lasting.merge(dc, 1, Integer::sum);
                    expected++;
                }
            }
        }
    }
}
