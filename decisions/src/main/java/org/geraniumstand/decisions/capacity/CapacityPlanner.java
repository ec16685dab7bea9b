package org.geraniumstand.decisions.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.time.Moment;

/**
 * Plans hosts for all services and says what to order; it has no clock and sends nothing itself.
 *
 * <p>It belongs to the lease holder. What it remembers (back-off, queue of loads, held needs) may be lost when the
 * lease moves on: orders state a wanted end, so a new planner only comes to the same end later.
 */
@Decision(
        name = "capacity-plan",
        summary = "Hosts follow the load: started where they are cheapest and spread, drained before they are stopped.")
public final class CapacityPlanner {
    private static final int MAX_NUMBER = 10_000;

    private final PoolBackoff backoff = new PoolBackoff();
    private final StopDelay delay = new StopDelay();
    private final LoadQueue loads;
    private final Set<HostId> draining = new HashSet<>();

    /**
     * Creates a planner.
     *
     * @param loadsPerMinute loads that the weight store admits in a minute
     */
    public CapacityPlanner(int loadsPerMinute) {
        this.loads = new LoadQueue(loadsPerMinute);
    }

    /**
     * Returns the orders to give now.
     *
     * @param input what is known
     * @param now the time
     */
    public List<CapacityOrder> plan(PlanInput input, Moment now) {
        draining.retainAll(input.hosts().stream().map(CloudHost::host).collect(Collectors.toSet()));
        List<CapacityOrder> orders = new ArrayList<>();
        for (ServiceNeed need : input.needs()) {
            planService(input, need, now, orders);
        }
        giveUpVersions(input, orders);
        return orders;
    }

    /**
     * Takes in that a start was refused.
     *
     * @param start the order
     * @param now the time
     */
    public void onRefused(CapacityOrder.Start start, Moment now) {
        backoff.onRefused(start.pool(), now);
    }

    /**
     * Takes in that a start was accepted.
     *
     * @param start the order
     */
    public void onStarted(CapacityOrder.Start start) {
        backoff.onStarted(start.pool());
    }

    private void planService(PlanInput input, ServiceNeed need, Moment now, List<CapacityOrder> orders) {
        int needed = delay.hold(need.service().id(), ServersNeeded.of(input.preset(), need), now);
        List<CloudHost> hosts = hostsOf(input, need);
        List<HostPool> usable = input.pools().stream()
                .filter(pool -> !input.out().contains(pool.dataCentre()))
                .filter(pool -> backoff.mayAsk(pool, now) || count(hosts, pool) > 0)
                .toList();
        Map<HostPool, Integer> wanted = PoolSpread.of(needed, input.preset().onDemandFloor(), usable);
        boolean complete = true;
        for (HostPool pool : usable) {
            int missing = wanted.getOrDefault(pool, 0) - count(hosts, pool);
            complete &= missing <= 0;
            start(input, need, pool, missing, now, orders);
        }
        boolean settled = complete && hosts.stream().allMatch(host -> host.state() == CloudHost.State.RUNNING);
        giveUp(input, settled ? tooMany(input, hosts, wanted) : List.of(), hosts, orders);
    }

    /** Gives up the hosts of versions that no service needs any more. */
    private void giveUpVersions(PlanInput input, List<CapacityOrder> orders) {
        List<CloudHost> rest = input.hosts().stream()
                .filter(host -> host.state() != CloudHost.State.STOPPING)
                .filter(host -> input.needs().stream()
                        .anyMatch(need -> need.service().id().equals(host.service())))
                .filter(host -> input.needs().stream()
                        .noneMatch(need -> need.service().id().equals(host.service())
                                && need.version().equals(host.version())))
                .toList();
        giveUp(input, rest, rest, orders);
    }

    private static List<CloudHost> hostsOf(PlanInput input, ServiceNeed need) {
        return input.hosts().stream()
                .filter(host -> host.service().equals(need.service().id())
                        && host.version().equals(need.version()))
                .filter(host -> host.state() != CloudHost.State.STOPPING)
                .filter(host -> !input.reclaimed().contains(host.host()))
                .toList();
    }

    private static boolean isOf(CloudHost host, HostPool pool) {
        return host.dataCentre().equals(pool.dataCentre())
                && host.hostClass().equals(pool.hostClass())
                && host.reclaimable() == pool.reclaimable();
    }

    private static int count(List<CloudHost> hosts, HostPool pool) {
        return (int) hosts.stream().filter(host -> isOf(host, pool)).count();
    }

    private void start(
            PlanInput input, ServiceNeed need, HostPool pool, int missing, Moment now, List<CapacityOrder> orders) {
        Set<HostId> taken = input.hosts().stream().map(CloudHost::host).collect(Collectors.toSet());
        String prefix = String.join(
                "-",
                need.service().id().value(),
                need.version().value(),
                pool.dataCentre().value(),
                pool.hostClass(),
                pool.reclaimable() ? "r" : "d");
        int number = 0;
        for (int i = 0; i < missing && backoff.mayAsk(pool, now) && loads.hasRoom(now); i++) {
            HostId host = new HostId(prefix + "-" + number);
            while (taken.contains(host) && number < MAX_NUMBER) {
                number++;
                host = new HostId(prefix + "-" + number);
            }
            taken.add(host);
            loads.onStarted(now);
            HostOrder order = new HostOrder(
                    host,
                    pool.dataCentre(),
                    pool.hostClass(),
                    pool.reclaimable(),
                    need.service().id(),
                    need.version());
            orders.add(new CapacityOrder.Start(order, pool));
        }
    }

    private static List<CloudHost> tooMany(PlanInput input, List<CloudHost> hosts, Map<HostPool, Integer> wanted) {
        List<CloudHost> chosen = new ArrayList<>();
        for (HostPool pool : input.pools()) {
            List<CloudHost> held =
                    hosts.stream().filter(host -> isOf(host, pool)).toList();
            chosen.addAll(HostToStop.of(held, wanted.getOrDefault(pool, 0), input.work()));
        }
        return chosen;
    }

    private void giveUp(PlanInput input, List<CloudHost> chosen, List<CloudHost> hosts, List<CapacityOrder> orders) {
        for (CloudHost host : hosts) {
            boolean drained = draining.contains(host.host());
            boolean idle = input.work().getOrDefault(host.host(), 0) == 0;
            if (chosen.contains(host)) {
                draining.add(host.host());
                orders.add(drained && idle ? new CapacityOrder.Stop(host) : new CapacityOrder.Drain(host));
            } else if (drained) {
                draining.remove(host.host());
                orders.add(new CapacityOrder.Serve(host));
            }
        }
    }
}
