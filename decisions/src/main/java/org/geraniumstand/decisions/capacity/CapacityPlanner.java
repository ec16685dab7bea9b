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
import org.geraniumstand.model.time.Timestamp;

/**
 * Plans the hosts of all services and returns the orders that lead to the plan.
 *
 * <p>The planner has no clock and sends no orders itself.
 *
 * <p>Only the process that holds the capacity lease runs the planner. Its state (back-off, rate limit of weight loads,
 * scale-down peaks, draining hosts) may be lost when the lease passes to another process: orders are declarative, so a
 * new planner reaches the same result, only later.
 */
@Decision(
        name = "capacity-plan",
        summary = "The number of hosts follows the load: hosts are started in the cheapest pools, spread over data"
                + " centres, and drained before they are stopped.")
public final class CapacityPlanner {
    private static final int MAX_HOST_NUMBER = 10_000;

    private final PoolBackoff backoff = new PoolBackoff();
    private final ScaleDownStabilization stabilization = new ScaleDownStabilization();
    private final WeightLoadRateLimiter weightLoads;
    private final Set<HostId> draining = new HashSet<>();

    /**
     * Creates a planner.
     *
     * @param loadsPerMinute weight loads that the weight store admits per minute
     */
    public CapacityPlanner(int loadsPerMinute) {
        this.weightLoads = new WeightLoadRateLimiter(loadsPerMinute);
    }

    /**
     * Returns the orders of one planning round.
     *
     * @param input configuration, load and hosts that the plan is based on
     * @param now the current time
     */
    public List<CapacityOrder> plan(CapacityPlanInput input, Timestamp now) {
        draining.retainAll(input.hosts().stream().map(CloudHost::host).collect(Collectors.toSet()));
        List<CapacityOrder> orders = new ArrayList<>();
        for (ServiceLoad serviceLoad : input.serviceLoads()) {
            planService(input, serviceLoad, now, orders);
        }
        drainUnusedVersions(input, orders);
        return orders;
    }

    /**
     * Records that the cloud refused to start a host, and backs off from its pool.
     *
     * @param start the refused order
     * @param now the current time
     */
    public void onRefused(CapacityOrder.Start start, Timestamp now) {
        backoff.onRefused(start.pool(), now);
    }

    /**
     * Records that the cloud accepted to start a host, and resets the back-off of its pool.
     *
     * @param start the accepted order
     */
    public void onStarted(CapacityOrder.Start start) {
        backoff.onStarted(start.pool());
    }

    private void planService(
            CapacityPlanInput input, ServiceLoad serviceLoad, Timestamp now, List<CapacityOrder> orders) {
        int needed =
                stabilization.stabilize(serviceLoad.service().id(), ServersNeeded.of(input.preset(), serviceLoad), now);
        List<CloudHost> hosts = hostsOf(input, serviceLoad);
        List<HostPool> usable = input.pools().stream()
                .filter(pool -> !input.dataCentresOut().contains(pool.dataCentre()))
                .filter(pool -> backoff.mayRequest(pool, now) || count(hosts, pool) > 0)
                .toList();
        Map<HostPool, Integer> desired = PoolSpread.of(needed, input.preset().onDemandFloor(), usable);
        boolean allOrdered = true;
        for (HostPool pool : usable) {
            int missing = desired.getOrDefault(pool, 0) - count(hosts, pool);
            allOrdered &= missing <= 0;
            start(input, serviceLoad, pool, missing, now, orders);
        }
        boolean allRunning = allOrdered && hosts.stream().allMatch(host -> host.state() == CloudHost.State.RUNNING);
        drainOrStop(input, allRunning ? excessHosts(input, hosts, desired) : List.of(), hosts, orders);
    }

    /** Drains and stops the hosts of versions that no service uses any more. */
    private void drainUnusedVersions(CapacityPlanInput input, List<CapacityOrder> orders) {
        List<CloudHost> unused = input.hosts().stream()
                .filter(host -> host.state() != CloudHost.State.STOPPING)
                .filter(host -> input.serviceLoads().stream()
                        .anyMatch(serviceLoad -> serviceLoad.service().id().equals(host.service())))
                .filter(host -> input.serviceLoads().stream()
                        .noneMatch(serviceLoad -> serviceLoad.service().id().equals(host.service())
                                && serviceLoad.version().equals(host.version())))
                .toList();
        drainOrStop(input, unused, unused, orders);
    }

    private static List<CloudHost> hostsOf(CapacityPlanInput input, ServiceLoad serviceLoad) {
        return input.hosts().stream()
                .filter(host -> host.service().equals(serviceLoad.service().id())
                        && host.version().equals(serviceLoad.version()))
                .filter(host -> host.state() != CloudHost.State.STOPPING)
                .filter(host -> !input.reclaimed().contains(host.host()))
                .toList();
    }

    private static boolean belongsTo(CloudHost host, HostPool pool) {
        return host.dataCentre().equals(pool.dataCentre())
                && host.hostClass().equals(pool.hostClass())
                && host.reclaimable() == pool.reclaimable();
    }

    private static int count(List<CloudHost> hosts, HostPool pool) {
        return (int) hosts.stream().filter(host -> belongsTo(host, pool)).count();
    }

    private void start(
            CapacityPlanInput input,
            ServiceLoad serviceLoad,
            HostPool pool,
            int missing,
            Timestamp now,
            List<CapacityOrder> orders) {
        Set<HostId> usedNames = input.hosts().stream().map(CloudHost::host).collect(Collectors.toSet());
        String prefix = String.join(
                "-",
                serviceLoad.service().id().value(),
                serviceLoad.version().value(),
                pool.dataCentre().value(),
                pool.hostClass(),
                pool.reclaimable() ? "r" : "d");
        int number = 0;
        for (int i = 0; i < missing && backoff.mayRequest(pool, now) && weightLoads.mayStart(now); i++) {
            HostId host = new HostId(prefix + "-" + number);
            while (usedNames.contains(host) && number < MAX_HOST_NUMBER) {
                number++;
                host = new HostId(prefix + "-" + number);
            }
            usedNames.add(host);
            weightLoads.onStarted(now);
            HostOrder order = new HostOrder(
                    host,
                    pool.dataCentre(),
                    pool.hostClass(),
                    pool.reclaimable(),
                    serviceLoad.service().id(),
                    serviceLoad.version());
            orders.add(new CapacityOrder.Start(order, pool));
        }
    }

    private static List<CloudHost> excessHosts(
            CapacityPlanInput input, List<CloudHost> hosts, Map<HostPool, Integer> desired) {
        List<CloudHost> excess = new ArrayList<>();
        for (HostPool pool : input.pools()) {
            List<CloudHost> poolHosts =
                    hosts.stream().filter(host -> belongsTo(host, pool)).toList();
            excess.addAll(HostsToDrain.of(poolHosts, desired.getOrDefault(pool, 0), input.inFlightByHost()));
        }
        return excess;
    }

    private void drainOrStop(
            CapacityPlanInput input, List<CloudHost> excess, List<CloudHost> hosts, List<CapacityOrder> orders) {
        for (CloudHost host : hosts) {
            boolean wasDraining = draining.contains(host.host());
            boolean idle = input.inFlightByHost().getOrDefault(host.host(), 0) == 0;
            if (excess.contains(host)) {
                draining.add(host.host());
                orders.add(wasDraining && idle ? new CapacityOrder.Stop(host) : new CapacityOrder.Drain(host));
            } else if (wasDraining) {
                draining.remove(host.host());
                orders.add(new CapacityOrder.ReturnToService(host));
            }
        }
    }
}
