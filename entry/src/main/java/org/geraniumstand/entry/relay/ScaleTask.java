package org.geraniumstand.entry.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.relay.DemandMeter;
import org.geraniumstand.decisions.relay.LastingKept;
import org.geraniumstand.decisions.relay.RelayDesk;
import org.geraniumstand.decisions.relay.RelayServersNeeded;
import org.geraniumstand.decisions.relay.ServerView;
import org.geraniumstand.decisions.relay.ServersWanted;
import org.geraniumstand.decisions.relay.ServersWanted.Count;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.ScalingBounds;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.DutyDesk;
import org.geraniumstand.outside.relay.DutyDesk.ServerOrder;
import org.geraniumstand.support.log.Log;

/** Orders backend servers while this process holds the duty. */
final class ScaleTask {
    private static final Log LOG = Log.of(ScaleTask.class);

    /** Milliseconds between looks; a new server takes seconds to boot. */
    private static final long TICK_MILLIS = 500;

    /** Milliseconds until an order is repeated whose servers are still missing. */
    private static final long REPEAT_MILLIS = 6_000;

    /** Milliseconds for which no reclaimable servers are asked for where there were none. */
    private static final long NONE_MILLIS = 2_500;

    /** Milliseconds for which servers that were ordered count as coming; they boot for some 4,000 and start cold. */
    private static final long COMING_MILLIS = 7_500;

    /**
     * Milliseconds after the first server of a service was seen in which no servers are given back: others may not have
     * written their entries yet, which they do once in some 1,200.
     */
    private static final long LISTING_MILLIS = 3_000;

    private final DutyDesk duties;
    private final LeaderElection lease;
    private final Timer timer;
    private final LongSupplier clock;
    private final RelayDesk desk;
    private final DemandMeter demand = new DemandMeter();
    private final RelayServersNeeded needs = new RelayServersNeeded();
    private final Map<Lot, Ordered> ordered = new HashMap<>();
    private final Map<Lot, Long> noneUntilNanos = new HashMap<>();

    /** When servers of a service were first seen, on the monotonic clock in nanoseconds. */
    private final Map<ServiceId, Long> seenNanos = new HashMap<>();

    private record Lot(ServiceId service, DataCentreId dataCentre, boolean reclaimable) {}

    private record Ordered(int count, long atNanos) {}

    /**
     * Creates a task that was not started.
     *
     * @param duties takes orders
     * @param lease tells whether this process holds the duty
     * @param timer waits
     * @param clock the monotonic time in nanoseconds
     * @param desk knows the servers and what is asked of them
     */
    ScaleTask(DutyDesk duties, LeaderElection lease, Timer timer, LongSupplier clock, RelayDesk desk) {
        this.duties = duties;
        this.lease = lease;
        this.timer = timer;
        this.clock = clock;
        this.desk = desk;
    }

    void start() {
        timer.after(this::start, TICK_MILLIS);
        look();
    }

    private void look() {
        long now = clock.getAsLong();
        if (desk.quotas().hearsOthers(now)) {
            demand.onReading(desk.quotas().total(), now);
        } else {
            demand.onUnknown();
        }
        needs.onDemand(demand.perSecond(), now);
        Optional<DutyDesk.Claim> claim = lease.claim();
        if (claim.isEmpty()) {
            // Another process orders, so what was ordered here says nothing any more.
            ordered.clear();
            return;
        }
        desk.plan()
                .ifPresent(plan -> plan.services()
                        .forEach(service ->
                                service.scaling().ifPresent(bounds -> plan(claim.get(), service, bounds, now))));
    }

    private void plan(DutyDesk.Claim claim, RelayService service, ScalingBounds bounds, long now) {
        Map<DataCentreId, Count> serving = count(service.id(), view -> !view.listedCold(now));
        int served = serving.values().stream().mapToInt(Count::total).sum();
        if (served > 0) {
            seenNanos.putIfAbsent(service.id(), now);
        } else if (!seenNanos.containsKey(service.id())) {
            // The entries of its servers were not read yet.
            return;
        }
        int lasting = serving.values().stream().mapToInt(Count::lasting).sum();
        int needed = needs.decide(
                service.id(),
                demand.perSecond(),
                Math.max(lasting, found(service.id())),
                desk.quotas().allowedPerSecond(),
                bounds.prices().size(),
                now);
        ServersWanted.Input input = new ServersWanted.Input(
                bounds,
                needed,
                present(service.id(), serving, now),
                desk.fleet().dataCentresOut(),
                noneToHave(service.id(), now));
        Map<DataCentreId, Count> wanted = ServersWanted.decide(input);
        Map<DataCentreId, Integer> kept =
                LastingKept.decide(input, wanted, serving, lastingOrdered(service.id(), serving));
        wanted.forEach((dc, count) -> {
            Count there = serving.getOrDefault(dc, Count.NONE);
            order(claim, new Lot(service.id(), dc, true), count.reclaimable(), there.reclaimable(), now);
            order(claim, new Lot(service.id(), dc, false), kept.get(dc), there.lasting(), now);
        });
    }

    /** Returns the servers that a loss leaves of those that stood before this process gave orders, whose servers come on top. */
    private int found(ServiceId service) {
        boolean gaveOrders =
                ordered.keySet().stream().anyMatch(lot -> lot.service().equals(service));
        return gaveOrders
                ? 0
                : ServersWanted.afterLoss(
                        count(service, _view -> true), desk.fleet().dataCentresOut());
    }

    private Map<DataCentreId, Integer> lastingOrdered(ServiceId service, Map<DataCentreId, Count> serving) {
        Map<DataCentreId, Integer> lasting = new HashMap<>();
        serving.forEach((dc, count) -> lasting.put(dc, count.lasting()));
        ordered.forEach((lot, order) -> {
            if (lot.service().equals(service) && !lot.reclaimable()) {
                lasting.merge(lot.dataCentre(), order.count(), Math::max);
            }
        });
        return lasting;
    }

    private Set<DataCentreId> noneToHave(ServiceId service, long now) {
        return noneUntilNanos.entrySet().stream()
                .filter(e -> e.getKey().service().equals(service) && now - e.getValue() < 0)
                .map(e -> e.getKey().dataCentre())
                .collect(Collectors.toSet());
    }

    private Map<DataCentreId, Count> present(ServiceId service, Map<DataCentreId, Count> serving, long now) {
        Map<DataCentreId, Count> present = new HashMap<>(serving);
        ordered.forEach((lot, order) -> {
            boolean coming = now - order.atNanos() < COMING_MILLIS * Moment.NANOS_PER_MILLI;
            if (lot.service().equals(service) && lot.reclaimable() && coming) {
                Count there = present.getOrDefault(lot.dataCentre(), Count.NONE);
                present.put(lot.dataCentre(), new Count(there.lasting(), Math.max(there.reclaimable(), order.count())));
            }
        });
        return present;
    }

    /** Counts the servers of a service that do not leave. */
    private Map<DataCentreId, Count> count(ServiceId service, Predicate<ServerView> which) {
        Map<DataCentreId, Count> counts = new HashMap<>();
        for (ServerView view : desk.fleet().all()) {
            if (view.server().service().equals(service) && !view.server().leaving() && which.test(view)) {
                Count one = view.server().reclaimable() ? new Count(0, 1) : new Count(1, 0);
                counts.merge(
                        view.server().dataCentre(),
                        one,
                        (a, b) -> new Count(a.lasting() + b.lasting(), a.reclaimable() + b.reclaimable()));
            }
        }
        return counts;
    }

    private void order(DutyDesk.Claim claim, Lot lot, int wanted, int serving, long now) {
        boolean allListed = now - seenNanos.get(lot.service()) >= LISTING_MILLIS * Moment.NANOS_PER_MILLI;
        if (!allListed && wanted <= serving) {
            return;
        }
        Ordered last = ordered.get(lot);
        boolean fresh = last != null && now - last.atNanos() < REPEAT_MILLIS * Moment.NANOS_PER_MILLI;
        boolean same = last != null && last.count() == wanted;
        if (same && (fresh || serving == wanted)) {
            return;
        }
        if (last == null && serving == wanted) {
            ordered.put(lot, new Ordered(wanted, now));
            return;
        }
        Long none = noneUntilNanos.get(lot);
        if (none != null && now - none < 0 && wanted > serving) {
            return;
        }
        ordered.put(lot, new Ordered(wanted, now));
        ServerOrder order = new ServerOrder(lot.service(), lot.dataCentre(), lot.reclaimable(), wanted);
        duties.orderServers(claim, order, outcome -> onOutcome(lot, order, serving, outcome));
    }

    private void onOutcome(Lot lot, ServerOrder order, int serving, DutyDesk.Outcome outcome) {
        LOG.info(
                "servers-ordered",
                Field.of("service", order.service()),
                Field.of("dataCentre", order.dataCentre()),
                Field.of("reclaimable", order.reclaimable()),
                Field.of("count", order.count()),
                Field.of("serving", serving),
                Field.of("demand", Math.round(demand.perSecond())),
                Field.of("outcome", outcome));
        if (outcome == DutyDesk.Outcome.REFUSED && lot.reclaimable()) {
            noneUntilNanos.put(lot, clock.getAsLong() + NONE_MILLIS * Moment.NANOS_PER_MILLI);
            // What stands in for these is ordered at once, as it takes seconds to boot.
            timer.after(this::look, 0);
        } else if (outcome == DutyDesk.Outcome.REFUSED) {
            lease.onFenced();
        }
        if (outcome != DutyDesk.Outcome.DONE) {
            ordered.remove(lot);
        }
    }
}
