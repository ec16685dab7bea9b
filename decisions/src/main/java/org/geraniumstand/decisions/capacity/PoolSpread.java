package org.geraniumstand.decisions.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.id.DataCentreId;

/**
 * Distributes the hosts of a service over pools and data centres at the lowest cost.
 *
 * <p>If {@code n} hosts must remain after the loss of any data centre, a data centre may hold at most {@code total - n}
 * hosts. Hosts are therefore spread evenly over the data centres, using the cheapest pool of each, until the hosts
 * outside the fullest data centre are enough.
 */
@Decision(
        name = "pool-spread",
        summary =
                "Hosts are placed in the cheapest pools and spread so that enough of them remain after the loss of any"
                        + " data centre.")
public final class PoolSpread {
    private PoolSpread() {}

    /**
     * Returns the number of hosts to run in each pool.
     *
     * @param needed number of hosts that must remain if the fullest data centre is lost
     * @param onDemand minimum number of hosts from pools that are not reclaimable
     * @param pools pools that may be used
     */
    public static Map<HostPool, Integer> of(int needed, int onDemand, List<HostPool> pools) {
        List<HostPool> cheapest = cheapestPerDataCentre(pools);
        Map<HostPool, Integer> best = new HashMap<>();
        long bestCost = Long.MAX_VALUE;
        for (int dataCentres = 1; dataCentres <= cheapest.size(); dataCentres++) {
            Map<HostPool, Integer> plan = spread(needed, cheapest.subList(0, dataCentres));
            long cost = cost(plan);
            boolean toleratesLoss = dataCentres > 1 || cheapest.size() == 1;
            if (toleratesLoss && cost < bestCost) {
                best = plan;
                bestCost = cost;
            }
        }
        return withOnDemandFloor(best, onDemand, pools);
    }

    private static List<HostPool> cheapestPerDataCentre(List<HostPool> pools) {
        Map<DataCentreId, HostPool> cheapest = new HashMap<>();
        for (HostPool pool : pools) {
            cheapest.merge(pool.dataCentre(), pool, (a, b) -> byPrice().compare(a, b) <= 0 ? a : b);
        }
        return cheapest.values().stream().sorted(byPrice()).toList();
    }

    private static Comparator<HostPool> byPrice() {
        return Comparator.comparingInt(HostPool::centsPerHour)
                .thenComparing(HostPool::dataCentre)
                .thenComparing(HostPool::hostClass);
    }

    /** Spreads hosts over {@code k} data centres so that any {@code k - 1} of them hold the needed number. */
    private static Map<HostPool, Integer> spread(int needed, List<HostPool> pools) {
        int remainingDataCentres = Math.max(1, pools.size() - 1);
        int maxPerDataCentre = (needed + remainingDataCentres - 1) / remainingDataCentres;
        int total = pools.size() == 1 ? needed : needed + maxPerDataCentre;
        Map<HostPool, Integer> plan = new HashMap<>();
        int unassigned = total;
        for (HostPool pool : pools) {
            int hosts = Math.min(maxPerDataCentre, unassigned);
            plan.put(pool, hosts);
            unassigned -= hosts;
        }
        return plan;
    }

    private static Map<HostPool, Integer> withOnDemandFloor(
            Map<HostPool, Integer> plan, int onDemand, List<HostPool> pools) {
        Map<HostPool, Integer> next = new HashMap<>(plan);
        List<HostPool> onDemandPools = new ArrayList<>(pools.stream()
                .filter(pool -> !pool.reclaimable())
                .sorted(byPrice())
                .toList());
        int missing = onDemand
                - next.entrySet().stream()
                        .filter(entry -> !entry.getKey().reclaimable())
                        .mapToInt(Map.Entry::getValue)
                        .sum();
        for (int i = 0; i < missing && !onDemandPools.isEmpty(); i++) {
            HostPool pool = onDemandPools.get(i % onDemandPools.size());
            next.merge(pool, 1, Integer::sum);
            next.entrySet().stream()
                    .filter(e -> e.getKey().reclaimable()
                            && e.getKey().dataCentre().equals(pool.dataCentre())
                            && e.getValue() > 0)
                    .max(Comparator.comparingInt(e -> e.getKey().centsPerHour()))
                    .ifPresent(e -> e.setValue(e.getValue() - 1));
        }
        return next;
    }

    private static long cost(Map<HostPool, Integer> plan) {
        return plan.entrySet().stream()
                .mapToLong(entry -> (long) entry.getKey().centsPerHour() * entry.getValue())
                .sum();
    }
}
