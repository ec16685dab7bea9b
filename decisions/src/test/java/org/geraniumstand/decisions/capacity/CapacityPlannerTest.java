package org.geraniumstand.decisions.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class CapacityPlannerTest {
    private static final VersionId VERSION = new VersionId("v1");
    private static final Service SERVICE =
            new Service(new ServiceId("board-model"), ServiceKind.MODEL, VERSION, 1, 10, 10_000);
    private static final int LOADS_PER_MINUTE = 4;
    private static final long MINUTE_MILLIS = 60_000;
    private static final List<HostPool> POOLS = List.of(
            new HostPool(new DataCentreId("a"), "l", true, 100),
            new HostPool(new DataCentreId("a"), "l", false, 300),
            new HostPool(new DataCentreId("b"), "l", true, 120),
            new HostPool(new DataCentreId("b"), "l", false, 310),
            new HostPool(new DataCentreId("c"), "l", true, 400),
            new HostPool(new DataCentreId("c"), "l", false, 900));

    private final CapacityPlanner planner = new CapacityPlanner(LOADS_PER_MINUTE);
    private final List<CloudHost> hosts = new ArrayList<>();
    private final Map<HostId, Integer> inFlightByHost = new HashMap<>();

    @Test
    void keepsEnoughHostsAfterLossOfAnyDataCentre() {
        for (int needed = 1; needed <= 40; needed++) {
            Map<HostPool, Integer> plan = PoolSpread.of(needed, 1, POOLS);
            int total = plan.values().stream().mapToInt(i -> i).sum();
            for (String name : List.of("a", "b", "c")) {
                int inLostDataCentre = plan.entrySet().stream()
                        .filter(e -> e.getKey().dataCentre().value().equals(name))
                        .mapToInt(Map.Entry::getValue)
                        .sum();
                assertThat(total - inLostDataCentre, greaterThanOrEqualTo(needed));
            }
        }
    }

    @Test
    void usesExpensiveDataCentreOnlyIfItLowersTotalCost() {
        Map<HostPool, Integer> plan = PoolSpread.of(10, 0, POOLS);

        assertThat(plan.getOrDefault(POOLS.get(4), 0), equalTo(0));
        assertThat(plan.get(POOLS.get(0)), equalTo(10));
        assertThat(plan.get(POOLS.get(2)), equalTo(10));
    }

    @Test
    void keepsMinimumNumberOfOnDemandHosts() {
        Map<HostPool, Integer> plan = PoolSpread.of(10, 3, POOLS);

        int onDemand = plan.entrySet().stream()
                .filter(e -> !e.getKey().reclaimable())
                .mapToInt(Map.Entry::getValue)
                .sum();
        assertThat(onDemand, equalTo(3));
    }

    @Test
    void limitsStartsToRateOfWeightStore() {
        assertThat(plan(60, 0), hasSize(LOADS_PER_MINUTE));
        assertThat(plan(60, MINUTE_MILLIS / 2), empty());
        assertThat(plan(60, MINUTE_MILLIS), hasSize(LOADS_PER_MINUTE));
    }

    @Test
    void doesNotRequestHostsFromPoolDuringBackoff() {
        CapacityOrder.Start refused = (CapacityOrder.Start) plan(60, 0).get(0);
        planner.onRefused(refused, timeAt(0));

        for (CapacityOrder order : plan(60, MINUTE_MILLIS / 6)) {
            assertThat(((CapacityOrder.Start) order).pool().equals(refused.pool()), equalTo(false));
        }
    }

    @Test
    void drainsBusyHostWithoutStoppingIt() {
        scaleUp(60);
        hosts.forEach(host -> inFlightByHost.put(host.host(), 1));

        List<CapacityOrder> orders = plan(5, 30 * MINUTE_MILLIS);
        List<CapacityOrder> later = plan(5, 31 * MINUTE_MILLIS);

        assertThat(orders.get(0), instanceOf(CapacityOrder.Drain.class));
        later.forEach(order -> assertThat(order, instanceOf(CapacityOrder.Drain.class)));
    }

    @Test
    void stopsDrainedHostWithoutRequestsInFlight() {
        scaleUp(60);
        plan(5, 30 * MINUTE_MILLIS);

        assertThat(plan(5, 31 * MINUTE_MILLIS).get(0), instanceOf(CapacityOrder.Stop.class));
    }

    @Test
    void returnsDrainedHostToServiceWhenLoadRises() {
        scaleUp(60);
        plan(5, 30 * MINUTE_MILLIS);

        assertThat(plan(60, 31 * MINUTE_MILLIS).get(0), instanceOf(CapacityOrder.ReturnToService.class));
    }

    @Test
    void issuesNoOrdersDuringShortDipInLoad() {
        scaleUp(60);

        assertThat(plan(5, 11 * MINUTE_MILLIS), empty());
    }

    @Test
    void startsNoHostsInDataCentreOutOfService() {
        CapacityPlanInput input = new CapacityPlanInput(
                preset(),
                POOLS,
                Set.of(new DataCentreId("a")),
                List.of(new ServiceLoad(SERVICE, VERSION, 20)),
                hosts,
                inFlightByHost,
                Set.of());

        for (CapacityOrder order : planner.plan(input, timeAt(0))) {
            assertThat(((CapacityOrder.Start) order).pool().dataCentre().value().equals("a"), equalTo(false));
        }
    }

    @Test
    void issuesNoOrdersWhenHostsMatchLoad() {
        scaleUp(60);

        assertThat(plan(60, 12 * MINUTE_MILLIS), empty());
        assertThat(hosts.size(), lessThanOrEqualTo(22));
    }

    /** Starts the ordered hosts, one planning round a minute; the planner orders no more after eleven minutes. */
    private void scaleUp(double inFlight) {
        for (long t = 0; t <= 10 * MINUTE_MILLIS; t += MINUTE_MILLIS) {
            for (CapacityOrder order : plan(inFlight, t)) {
                hosts.add(runningHost((CapacityOrder.Start) order));
            }
        }
    }

    private List<CapacityOrder> plan(double inFlight, long millis) {
        CapacityPlanInput input = new CapacityPlanInput(
                preset(),
                POOLS,
                Set.of(),
                List.of(new ServiceLoad(SERVICE, VERSION, inFlight)),
                hosts,
                inFlightByHost,
                Set.of());
        return planner.plan(input, timeAt(millis));
    }

    private static CloudHost runningHost(CapacityOrder.Start start) {
        return new CloudHost(
                start.host().host(),
                start.host().dataCentre(),
                start.host().hostClass(),
                start.host().reclaimable(),
                SERVICE.id(),
                VERSION,
                CloudHost.State.RUNNING);
    }

    private static Preset preset() {
        return new Preset(new PresetId("day"), 490, 57, 1, 1, 10);
    }

    private static Timestamp timeAt(long millis) {
        return new Timestamp(millis * Timestamp.NANOS_PER_MILLI, millis);
    }
}
