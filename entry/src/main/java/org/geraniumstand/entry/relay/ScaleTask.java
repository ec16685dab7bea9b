package org.geraniumstand.entry.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.relay.DemandMeter;
import org.geraniumstand.decisions.relay.DesiredServers;
import org.geraniumstand.decisions.relay.DesiredServers.Count;
import org.geraniumstand.decisions.relay.OnDemandRetention;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.decisions.relay.RelayServersNeeded;
import org.geraniumstand.decisions.relay.ServerView;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.ScalingBounds;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.LeaderApi;
import org.geraniumstand.outside.relay.LeaderApi.ServerOrder;
import org.geraniumstand.support.log.Log;

/** Orders backend servers to match the measured demand while this process is the leader. */
final class ScaleTask {
    private static final Log LOG = Log.of(ScaleTask.class);

    /** Interval between scaling decisions, in milliseconds; a new server takes seconds to boot. */
    private static final long TICK_MILLIS = 500;

    /** Time after which an order is sent again if its servers are still missing, in milliseconds. */
    private static final long RESEND_MILLIS = 6_000;

    /** Time for which no reclaimable servers are ordered in a data centre that had none available, in milliseconds. */
    private static final long UNAVAILABLE_MILLIS = 2_500;

    /**
     * Time for which ordered servers count as pending, in milliseconds; they take about 4,000 ms to boot and are cold at
     * first.
     */
    private static final long PENDING_MILLIS = 7_500;

    /**
     * Time for which no servers of a service are released after its first server was seen, in milliseconds; other servers
     * may not have written their entries yet, which they do about every 1,200 ms.
     */
    private static final long RELEASE_DELAY_MILLIS = 3_000;

    private final LeaderApi cloudApi;
    private final LeaderElection leaderElection;
    private final Timer timer;
    private final LongSupplier clock;
    private final RelayDispatcher dispatcher;
    private final DemandMeter demand = new DemandMeter();
    private final RelayServersNeeded serversNeeded = new RelayServersNeeded();
    private final Map<ServerPool, PlacedOrder> placedOrders = new HashMap<>();
    private final Map<ServerPool, Long> unavailableUntilNanos = new HashMap<>();

    /** When servers of a service were first seen, on the monotonic clock in nanoseconds. */
    private final Map<ServiceId, Long> firstSeenNanos = new HashMap<>();

    private record ServerPool(ServiceId service, DataCentreId dataCentre, boolean reclaimable) {}

    private record PlacedOrder(int count, long atNanos) {}

    /**
     * Creates a task that is not started yet.
     *
     * @param cloudApi the cloud API, which accepts the orders
     * @param leaderElection the election, which supplies the fencing token while this process is the leader
     * @param timer the timer that schedules the scaling decisions
     * @param clock the clock, which returns the monotonic time in nanoseconds
     * @param dispatcher the dispatcher, which holds the configuration, the servers and the quota usage
     */
    ScaleTask(
            LeaderApi cloudApi,
            LeaderElection leaderElection,
            Timer timer,
            LongSupplier clock,
            RelayDispatcher dispatcher) {
        this.cloudApi = cloudApi;
        this.leaderElection = leaderElection;
        this.timer = timer;
        this.clock = clock;
        this.dispatcher = dispatcher;
    }

    void start() {
        timer.after(this::start, TICK_MILLIS);
        evaluate();
    }

    private void evaluate() {
        long now = clock.getAsLong();
        if (dispatcher.quotas().remoteUsageKnown(now)) {
            demand.onReading(dispatcher.quotas().totalUsage(), now);
        } else {
            demand.onUnknown();
        }
        serversNeeded.onDemand(demand.perSecond(), now);
        Optional<LeaderApi.Claim> token = leaderElection.fencingToken();
        if (token.isEmpty()) {
            // Another process places the orders now, so the orders of this process are out of date.
            placedOrders.clear();
            return;
        }
        dispatcher
                .configuration()
                .ifPresent(configuration -> configuration
                        .services()
                        .forEach(service ->
                                service.scaling().ifPresent(bounds -> scale(token.get(), service, bounds, now))));
    }

    private void scale(LeaderApi.Claim token, RelayService service, ScalingBounds bounds, long now) {
        Map<DataCentreId, Count> serving = countServers(service.id(), view -> !view.listedCold(now));
        int servingCount = serving.values().stream().mapToInt(Count::total).sum();
        if (servingCount > 0) {
            firstSeenNanos.putIfAbsent(service.id(), now);
        } else if (!firstSeenNanos.containsKey(service.id())) {
            // The entries of the servers of this service have not been read yet.
            return;
        }
        int onDemandServers =
                serving.values().stream().mapToInt(Count::onDemand).sum();
        int needed = serversNeeded.decide(
                service.id(),
                demand.perSecond(),
                dispatcher.processedTokensPerSecond(service.id()),
                Math.max(onDemandServers, initialServers(service.id())),
                dispatcher.quotas().allowedPerSecond(),
                bounds.prices().size(),
                now);
        DesiredServers.Input input = new DesiredServers.Input(
                bounds,
                needed,
                servingOrPending(service.id(), serving, now),
                dispatcher.fleet().dataCentresOut(),
                withoutReclaimable(service.id(), now));
        Map<DataCentreId, Count> wanted = DesiredServers.decide(input);
        Map<DataCentreId, Integer> onDemandKept =
                OnDemandRetention.decide(input, wanted, serving, onDemandOrdered(service.id(), serving));
        wanted.forEach((dc, count) -> {
            Count current = serving.getOrDefault(dc, Count.NONE);
            orderIfNeeded(
                    token, new ServerPool(service.id(), dc, true), count.reclaimable(), current.reclaimable(), now);
            orderIfNeeded(
                    token, new ServerPool(service.id(), dc, false), onDemandKept.get(dc), current.onDemand(), now);
        });
    }

    /**
     * Returns how many of the servers that ran before this process placed its first order remain if a data centre loses its
     * reclaimable ones.
     *
     * <p>Servers that this process orders come in addition. Once it has placed an order for the service, the result is zero.
     */
    private int initialServers(ServiceId service) {
        boolean orderedBefore =
                placedOrders.keySet().stream().anyMatch(pool -> pool.service().equals(service));
        return orderedBefore
                ? 0
                : DesiredServers.remainingAfterLoss(
                        countServers(service, _view -> true), dispatcher.fleet().dataCentresOut());
    }

    private Map<DataCentreId, Integer> onDemandOrdered(ServiceId service, Map<DataCentreId, Count> serving) {
        Map<DataCentreId, Integer> onDemandServers = new HashMap<>();
        serving.forEach((dc, count) -> onDemandServers.put(dc, count.onDemand()));
        placedOrders.forEach((pool, order) -> {
            if (pool.service().equals(service) && !pool.reclaimable()) {
                onDemandServers.merge(pool.dataCentre(), order.count(), Math::max);
            }
        });
        return onDemandServers;
    }

    private Set<DataCentreId> withoutReclaimable(ServiceId service, long now) {
        return unavailableUntilNanos.entrySet().stream()
                .filter(e -> e.getKey().service().equals(service) && now - e.getValue() < 0)
                .map(e -> e.getKey().dataCentre())
                .collect(Collectors.toSet());
    }

    private Map<DataCentreId, Count> servingOrPending(ServiceId service, Map<DataCentreId, Count> serving, long now) {
        Map<DataCentreId, Count> present = new HashMap<>(serving);
        placedOrders.forEach((pool, order) -> {
            boolean pending = now - order.atNanos() < PENDING_MILLIS * Timestamp.NANOS_PER_MILLI;
            if (pool.service().equals(service) && pool.reclaimable() && pending) {
                Count current = present.getOrDefault(pool.dataCentre(), Count.NONE);
                present.put(
                        pool.dataCentre(),
                        new Count(current.onDemand(), Math.max(current.reclaimable(), order.count())));
            }
        });
        return present;
    }

    /** Counts the servers of a service that are not draining and match a filter, by data centre. */
    private Map<DataCentreId, Count> countServers(ServiceId service, Predicate<ServerView> filter) {
        Map<DataCentreId, Count> counts = new HashMap<>();
        for (ServerView view : dispatcher.fleet().all()) {
            if (view.server().service().equals(service) && !view.server().draining() && filter.test(view)) {
                Count one = view.server().reclaimable() ? new Count(0, 1) : new Count(1, 0);
                counts.merge(
                        view.server().dataCentre(),
                        one,
                        (a, b) -> new Count(a.onDemand() + b.onDemand(), a.reclaimable() + b.reclaimable()));
            }
        }
        return counts;
    }

    private void orderIfNeeded(LeaderApi.Claim token, ServerPool pool, int wanted, int serving, long now) {
        boolean mayRelease =
                now - firstSeenNanos.get(pool.service()) >= RELEASE_DELAY_MILLIS * Timestamp.NANOS_PER_MILLI;
        if (!mayRelease && wanted <= serving) {
            return;
        }
        PlacedOrder lastOrder = placedOrders.get(pool);
        boolean recent = lastOrder != null && now - lastOrder.atNanos() < RESEND_MILLIS * Timestamp.NANOS_PER_MILLI;
        boolean sameCount = lastOrder != null && lastOrder.count() == wanted;
        if (sameCount && (recent || serving == wanted)) {
            return;
        }
        if (lastOrder == null && serving == wanted) {
            placedOrders.put(pool, new PlacedOrder(wanted, now));
            return;
        }
        Long unavailableUntil = unavailableUntilNanos.get(pool);
        if (unavailableUntil != null && now - unavailableUntil < 0 && wanted > serving) {
            return;
        }
        placedOrders.put(pool, new PlacedOrder(wanted, now));
        ServerOrder order = new ServerOrder(pool.service(), pool.dataCentre(), pool.reclaimable(), wanted);
        cloudApi.orderServers(token, order, outcome -> onOutcome(pool, order, serving, outcome));
    }

    private void onOutcome(ServerPool pool, ServerOrder order, int serving, LeaderApi.Outcome outcome) {
        LOG.info(
                "servers-ordered",
                Field.of("service", order.service()),
                Field.of("dataCentre", order.dataCentre()),
                Field.of("reclaimable", order.reclaimable()),
                Field.of("count", order.count()),
                Field.of("serving", serving),
                Field.of("demand", Math.round(demand.perSecond())),
                Field.of("outcome", outcome));
        if (outcome == LeaderApi.Outcome.REFUSED && pool.reclaimable()) {
            unavailableUntilNanos.put(pool, clock.getAsLong() + UNAVAILABLE_MILLIS * Timestamp.NANOS_PER_MILLI);
            // Servers that replace the refused ones take seconds to boot, so they are ordered without waiting for the
            // next tick.
            timer.after(this::evaluate, 0);
        } else if (outcome == LeaderApi.Outcome.REFUSED) {
            leaderElection.onFenced();
        }
        if (outcome != LeaderApi.Outcome.DONE) {
            placedOrders.remove(pool);
        }
    }
}
