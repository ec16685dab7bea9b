package org.geraniumstand.entry.capacity;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.geraniumstand.decisions.capacity.CapacityOrder;
import org.geraniumstand.decisions.capacity.CapacityPlanInput;
import org.geraniumstand.decisions.capacity.CapacityPlanner;
import org.geraniumstand.decisions.capacity.ServiceLoad;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.capacity.EngineOrder;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.cloud.CloudApi;
import org.geraniumstand.outside.cloud.CloudError;
import org.geraniumstand.outside.cloud.HostList;
import org.geraniumstand.support.log.Log;

/**
 * Plans capacity and sends the resulting orders while this process holds the lease (autoscaling).
 *
 * <p>Each round reads the current state: the effects of earlier orders show in the cloud's host list, so an order
 * whose response was lost is sent again, which is idempotent. All steps run on one thread.
 */
final class CapacityTask {
    private static final Log LOG = Log.of(CapacityTask.class);

    private final Supplier<Optional<Configuration>> configuration;
    private final FencedLease lease;
    private final OrderSender sender;
    private final CloudApi cloud;
    private final HostList hosts;
    private final EngineStatusPoller engines;
    private final CapacityPlanner planner;
    private final Supplier<Timestamp> clock;

    /**
     * Creates a task.
     *
     * @param configuration returns the configuration in force
     * @param lease lease that one process at a time holds
     * @param sender sends the orders
     * @param cloud lists the hosts
     * @param hosts lists the servers on the hosts
     * @param engines provides the load of the servers
     * @param planner plans orders from the current state
     * @param clock returns the current time
     */
    CapacityTask(
            Supplier<Optional<Configuration>> configuration,
            FencedLease lease,
            OrderSender sender,
            CloudApi cloud,
            HostList hosts,
            EngineStatusPoller engines,
            CapacityPlanner planner,
            Supplier<Timestamp> clock) {
        this.configuration = configuration;
        this.lease = lease;
        this.sender = sender;
        this.cloud = cloud;
        this.hosts = hosts;
        this.engines = engines;
        this.planner = planner;
        this.clock = clock;
    }

    /**
     * Runs one round: acquires or renews the lease, and plans if it is held. Does nothing if the configuration has no
     * pools.
     */
    void runRound() {
        boolean hasPools = configuration.get().map(c -> !c.pools().isEmpty()).orElse(false);
        if (!hasPools) {
            return;
        }
        lease.step();
        if (lease.currentFencingToken().isPresent()) {
            configuration.get().ifPresent(this::readHosts);
        }
    }

    private void readHosts(Configuration document) {
        hosts.read(listing -> listing.value().ifPresent(listed -> {
            engines.poll(listed.servers());
            cloud.hosts(result -> result.value().ifPresent(cloudHosts -> plan(document, listed, cloudHosts)));
        }));
    }

    private void plan(Configuration document, HostList.Listing listed, List<CloudHost> cloudHosts) {
        Optional<Preset> preset = document.preset();
        if (preset.isEmpty()) {
            return;
        }
        Set<HostId> reclaimed = new HashSet<>();
        listed.notices().stream().map(ReclaimNotice::host).forEach(reclaimed::add);
        CapacityPlanInput input = new CapacityPlanInput(
                preset.get(),
                document.pools(),
                document.dataCentresOut(),
                serviceLoads(document),
                cloudHosts,
                engines.requestsByHost(),
                reclaimed);
        planner.plan(input, clock.get()).forEach(this::execute);
    }

    /** Returns the load by service and version; during a version move, both versions need hosts for the whole load. */
    private List<ServiceLoad> serviceLoads(Configuration document) {
        List<ServiceLoad> loads = new ArrayList<>();
        for (Service service : document.services()) {
            double load = engines.inFlight(service.id());
            Set<VersionId> versions = new HashSet<>(Set.of(service.version()));
            document.moveInProgress(service.id()).ifPresent(move -> {
                versions.add(move.from());
                versions.add(move.to());
            });
            versions.stream().sorted().forEach(version -> loads.add(new ServiceLoad(service, version, load)));
        }
        return loads;
    }

    private void execute(CapacityOrder order) {
        if (order instanceof CapacityOrder.Start start) {
            logOrder("start", start.host().host(), sender.start(start, this::onStarted));
        } else if (order instanceof CapacityOrder.Stop stop) {
            logOrder("stop", stop.host().host(), sender.stop(stop.host().host()));
        } else if (order instanceof CapacityOrder.Drain drain) {
            sendRole(drain.host(), EngineOrder.Role.DRAIN);
        } else if (order instanceof CapacityOrder.ReturnToService serve) {
            sendRole(serve.host(), EngineOrder.Role.SERVE);
        }
    }

    private void sendRole(CloudHost host, EngineOrder.Role role) {
        EngineOrder order = new EngineOrder(host.service(), host.version(), role, List.of());
        for (BackendServer server : engines.serversOn(host.host())) {
            URI engine = EngineStatusPoller.addressOf(server);
            logOrder(role.name().toLowerCase(Locale.ROOT), host.host(), sender.engine(engine, order));
        }
    }

    private void onStarted(CapacityOrder.Start start, Result<HostOrder, CloudError> result) {
        result.fold(
                ok -> {
                    planner.onStarted(start);
                    return ok;
                },
                error -> {
                    if (error == CloudError.START_REFUSED) {
                        planner.onRefused(start, clock.get());
                    }
                    LOG.warn("order-refused", Field.of("host", start.host().host()), Field.of("error", error));
                    return start.host();
                });
    }

    private static void logOrder(String order, HostId host, boolean sent) {
        LOG.info("order-sent", Field.of("order", order), Field.of("host", host), Field.of("sent", sent));
    }
}
