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
 * Decides how many hosts of each pool a service gets.
 *
 * <p>With {@code n} hosts that must be left, a data centre may hold at most {@code total - n}. So data centres are
 * filled evenly, the cheapest pool of each first, until what is left without the fullest one is enough.
 */
@Decision(
        name = "pool-spread",
        summary = "Hosts are bought where they are cheapest, spread so that losing any data centre leaves enough.")
public final class PoolSpread {
    private PoolSpread() {}

    /**
     * Returns the wanted hosts of each pool.
     *
     * @param needed hosts that must be left when the fullest data centre is lost
     * @param onDemand hosts that the cloud may not take back, at least
     * @param pools pools that may be used
     */
    public static Map<HostPool, Integer> of(int needed, int onDemand, List<HostPool> pools) {
        List<HostPool> cheapest = cheapestOfEach(pools);
        Map<HostPool, Integer> best = new HashMap<>();
        long bestCost = Long.MAX_VALUE;
        for (int used = 1; used <= cheapest.size(); used++) {
            Map<HostPool, Integer> plan = spread(needed, cheapest.subList(0, used));
            long cost = cost(plan);
            boolean survives = used > 1 || cheapest.size() == 1;
            if (survives && cost < bestCost) {
                best = plan;
                bestCost = cost;
            }
        }
        return withOnDemand(best, onDemand, pools);
    }

    private static List<HostPool> cheapestOfEach(List<HostPool> pools) {
        Map<DataCentreId, HostPool> cheapest = new HashMap<>();
        for (HostPool pool : pools) {
            cheapest.merge(pool.dataCentre(), pool, (a, b) -> order().compare(a, b) <= 0 ? a : b);
        }
        return cheapest.values().stream().sorted(order()).toList();
    }

    private static Comparator<HostPool> order() {
        return Comparator.comparingInt(HostPool::centsPerHour)
                .thenComparing(HostPool::dataCentre)
                .thenComparing(HostPool::hostClass);
    }

    /** Gives each of {@code k} data centres a part, so that {@code k - 1} of them hold what is needed. */
    private static Map<HostPool, Integer> spread(int needed, List<HostPool> pools) {
        int survivors = Math.max(1, pools.size() - 1);
        int most = (needed + survivors - 1) / survivors;
        int total = pools.size() == 1 ? needed : needed + most;
        Map<HostPool, Integer> plan = new HashMap<>();
        int left = total;
        for (HostPool pool : pools) {
            int hosts = Math.min(most, left);
            plan.put(pool, hosts);
            left -= hosts;
        }
        return plan;
    }

    private static Map<HostPool, Integer> withOnDemand(
            Map<HostPool, Integer> plan, int onDemand, List<HostPool> pools) {
        Map<HostPool, Integer> next = new HashMap<>(plan);
        List<HostPool> lasting = new ArrayList<>(pools.stream()
                .filter(pool -> !pool.reclaimable())
                .sorted(order())
                .toList());
        int missing = onDemand
                - next.entrySet().stream()
                        .filter(entry -> !entry.getKey().reclaimable())
                        .mapToInt(Map.Entry::getValue)
                        .sum();
        for (int i = 0; i < missing && !lasting.isEmpty(); i++) {
            HostPool pool = lasting.get(i % lasting.size());
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
