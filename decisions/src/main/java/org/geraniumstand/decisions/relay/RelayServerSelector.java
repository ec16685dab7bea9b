package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.time.Timestamp;

/** Selects the backend server of a call. */
@Decision(
        name = "relay-choice",
        summary = "Of the servers with spare capacity, take the one at which the call is expected to start first by "
                + "what this process knows, and one drawn at random; go to the drawn one if its host is faster now, or by "
                + "chance, the likelier the sooner it is by what all processes have sent, with a penalty for tokens that "
                + "miss the prefix cache and for traffic between data centres.")
public final class RelayServerSelector {
    /** Penalty of another data centre in milliseconds, for the round trip and the cost of the traffic. */
    private static final double REMOTE_DATA_CENTRE_MILLIS = 4;

    /** Penalty of a cold server in milliseconds. */
    private static final double COLD_SERVER_MILLIS = 150;

    /**
     * Advantage of a server that has named a limit and accepts a request now, in milliseconds; a turn that is not used soon
     * is lost.
     */
    private static final double OPEN_TURN_MILLIS = 10;

    /** Part of the target that work which waits at an engine may take. */
    private static final double TARGET_SHARE = 0.8;

    private final DataCentreId localDataCentre;
    private final RelayFleet fleet;
    private final PrefixCacheEstimate prefixCaches;
    private final SharedServerRate rate;
    private final Map<ServiceId, ServerRoom> rooms = new HashMap<>();
    private final ExpectedStart expectedStart = new ExpectedStart();
    private final Map<ServiceId, ServiceSpeed> speeds = new HashMap<>();
    private final Map<ServiceId, RoomShare> roomShares = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param localDataCentre the data centre of this process
     * @param fleet the registered servers
     * @param prefixCaches estimate of the servers' prefix caches
     * @param rate rate of the requests to servers that accept a limited rate from all processes
     */
    public RelayServerSelector(
            DataCentreId localDataCentre, RelayFleet fleet, PrefixCacheEstimate prefixCaches, SharedServerRate rate) {
        this.localDataCentre = localDataCentre;
        this.fleet = fleet;
        this.prefixCaches = prefixCaches;
        this.rate = rate;
    }

    /**
     * Describes a selected server.
     *
     * @param server the selected server
     * @param uncachedTokens expected number of prompt tokens that miss the server's prefix cache
     */
    public record Selection(ServerView server, double uncachedTokens) {}

    /** Returns how fast the servers of a service work. */
    ServiceSpeed speed(ServiceId service) {
        return speeds.computeIfAbsent(service, _key -> new ServiceSpeed());
    }

    /**
     * Returns whether a service has any server that accepts new calls.
     *
     * @param service the service to check
     */
    public boolean hasEligibleServer(ServiceId service) {
        return !fleet.eligibleServers(service).isEmpty();
    }

    /**
     * Selects a server with spare capacity for a call, or returns empty if there is none.
     *
     * @param call the call to dispatch
     * @param service the service that the call is routed to
     * @param processes number of processes that share the rate limits of servers
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Optional<Selection> choose(RelayCall call, RelayService service, int processes, long nowNanos) {
        List<ServerView> servers = fleet.eligibleServers(call.service());
        if (!hasShare(call, service, servers, processes, nowNanos)) {
            return Optional.empty();
        }
        boolean hasAvailable = anyAvailable(servers, call, nowNanos);
        List<PromptPart> prompt = call.head().promptParts();
        ServerView preferred = prompt.isEmpty() ? null : preferredServer(prompt, servers, nowNanos);
        ServerView best = null;
        double bestUncachedTokens = 0;
        double bestCost = Double.POSITIVE_INFINITY;
        // The highest of the hashes of call and server draws a server at random.
        long draw = Hash.of(call.head().attempt()) + call.attempts();
        ServerView drawn = null;
        double drawnUncachedTokens = 0;
        long drawnWeight = Long.MIN_VALUE;
        for (ServerView view : servers) {
            boolean skipped = hasAvailable && !isAvailable(view, call, nowNanos);
            if (skipped || !hasCapacity(view, service, processes, nowNanos)) {
                continue;
            }
            double uncachedTokens = service.engineCapacity().isEmpty()
                    ? 0
                    : prefixCaches.uncachedTokens(
                            prompt, call.head().promptTokens(), view.server().id(), view.equals(preferred), nowNanos);
            if (!hasRoom(call, view, service, uncachedTokens, nowNanos)) {
                continue;
            }
            double cost = cost(view, service, uncachedTokens, nowNanos) + tieBreak(call, view);
            if (cost < bestCost) {
                bestCost = cost;
                bestUncachedTokens = uncachedTokens;
                best = view;
            }
            long weight = Hash.mix(draw ^ view.hash());
            if (weight >= drawnWeight) {
                drawnWeight = weight;
                drawnUncachedTokens = uncachedTokens;
                drawn = view;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        Selection first = new Selection(best, bestUncachedTokens);
        Selection second = new Selection(drawn, drawnUncachedTokens);
        boolean moves = !drawn.equals(best) && moves(call, first, second, service, draw, nowNanos);
        return Optional.of(moves ? second : first);
    }

    /**
     * Returns whether a call goes to the server that was drawn for it.
     *
     * <p>It does if the hosts' slowness makes that server sooner: calls do not change what hosts state. Otherwise it does
     * with a probability of the part of the time that it gains by what all processes have sent: all of them hear the same
     * figures, and a server that looks better would get twice its share until the next ones if calls moved for any gain.
     */
    private boolean moves(
            RelayCall call, Selection best, Selection drawn, RelayService service, long draw, long nowNanos) {
        if (slowCost(drawn, service, nowNanos) + tieBreak(call, drawn.server())
                < slowCost(best, service, nowNanos) + tieBreak(call, best.server())) {
            return true;
        }
        double bestCost = sharedCost(best, service, nowNanos);
        double chance = Hash.modulo(Hash.mix(~draw), 1_000) / 1_000.0;
        return chance * bestCost < bestCost - sharedCost(drawn, service, nowNanos);
    }

    /** Records that a call is sent to a selected server. */
    void onSent(RelayCall call, RelayService service, Selection selection, long nowNanos) {
        if (service.engineCapacity().isEmpty()) {
            return;
        }
        CallNeeds needs = CallNeeds.of(call, selection.uncachedTokens(), nowNanos);
        ServerRoom room = room(service.id());
        ServiceSpeed speed = speed(service.id());
        double ownMillis = room.ownMillis(needs, selection.server(), speed, nowNanos);
        roomShare(service.id()).onSent(ownMillis);
        double aheadMillis = room.aheadMillis(selection.server(), speed, nowNanos);
        call.setExpectedMillis(
                (aheadMillis + ownMillis) / room.pace().factor(),
                ownMillis / room.pace().factor() + speed.firstTokenMillis());
    }

    /** Records that a part of a successful answer arrived. */
    void onProgress(RelayCall call, long nowNanos) {
        call.takeExpectedMillis()
                .ifPresent(expectedMillis -> room(call.service())
                        .pace()
                        .onStarted(
                                expectedMillis,
                                (double) (nowNanos - call.sentNanos()) / Timestamp.NANOS_PER_MILLI,
                                call.ownMillis(),
                                (double) call.route().targetMillis()));
    }

    private ServerRoom room(ServiceId service) {
        return rooms.computeIfAbsent(service, _key -> new ServerRoom());
    }

    private RoomShare roomShare(ServiceId service) {
        return roomShares.computeIfAbsent(service, _key -> new RoomShare());
    }

    // An answer that has begun goes on wherever there is a place.
    private boolean hasRoom(
            RelayCall call, ServerView view, RelayService service, double uncachedTokens, long nowNanos) {
        return call.relayed()
                || !roomShare(service.id()).isLimited()
                || room(service.id())
                        .fits(
                                CallNeeds.of(call, uncachedTokens, nowNanos),
                                view,
                                service,
                                speed(service.id()),
                                nowNanos);
    }

    private boolean hasShare(
            RelayCall call, RelayService service, List<ServerView> servers, int processes, long nowNanos) {
        if (service.engineCapacity().isEmpty() || call.relayed()) {
            return true;
        }
        RoomShare roomShare = roomShare(service.id());
        if (!room(service.id()).pace().tight()) {
            roomShare.refill();
            return true;
        }
        double ownTokens = 0;
        double remoteTokens = 0;
        for (ServerView view : servers) {
            ownTokens += view.pendingTokens();
            remoteTokens += view.remotePendingTokens(nowNanos).orElse(0);
        }
        int count = Math.max(1, servers.size());
        room(service.id()).onMeanRemoteTokens(remoteTokens / count);
        if (!room(service.id())
                .tight(ownTokens / count, speed(service.id()), call.route().targetMillis())) {
            roomShare.refill();
            return true;
        }
        double freeMillis = 0;
        int ownCalls = 0;
        int allCalls = 0;
        boolean othersKnown = false;
        for (ServerView view : servers) {
            freeMillis += call.route().targetMillis() * TARGET_SHARE
                    - room(service.id()).aheadMillis(view, speed(service.id()), nowNanos);
            ownCalls += view.inFlight();
            allCalls += view.occupiedSlots(nowNanos);
            othersKnown |= view.othersKnown(nowNanos);
        }
        double share = RoomShare.share(processes, ownCalls, allCalls, othersKnown);
        roomShare.accrue(new RoomShare.Room(servers.size(), freeMillis, share), nowNanos);
        return roomShare.isOpen();
    }

    private boolean hasNamedLimit(ServerView view) {
        return fleet.limits().perSecond(view.server()).isPresent();
    }

    private boolean isAvailable(ServerView view, RelayCall call, long nowNanos) {
        return fleet.pauseMillis(view, nowNanos) == 0
                && !view.isEjected(nowNanos)
                && !call.tried(view.server().id());
    }

    private boolean anyAvailable(List<ServerView> servers, RelayCall call, long nowNanos) {
        for (ServerView view : servers) {
            if (isAvailable(view, call, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private static ServerView preferredServer(List<PromptPart> prompt, List<ServerView> servers, long nowNanos) {
        long key = PrefixCacheEstimate.affinityKey(prompt);
        ServerView best = null;
        long maxWeight = Long.MIN_VALUE;
        for (ServerView view : servers) {
            long weight = PrefixCacheEstimate.affinityWeight(key, view.hash());
            if (weight >= maxWeight && !view.isEjected(nowNanos)) {
                maxWeight = weight;
                best = view;
            }
        }
        return best;
    }

    /**
     * Returns an estimate of the number of calls that the servers of a service have capacity for.
     *
     * @param service the service whose servers are counted
     * @param processes number of processes that share the rate limits of servers
     * @param nowNanos the monotonic time in nanoseconds
     */
    public int freeSlots(RelayService service, int processes, long nowNanos) {
        int freeSlots = 0;
        for (ServerView view : fleet.eligibleServers(service.id())) {
            if (fleet.pauseMillis(view, nowNanos) > 0) {
                continue;
            }
            Optional<SharedLimit> limit = limit(view, service, processes, nowNanos);
            if (limit.isPresent()) {
                freeSlots += rate.allows(view.server().id(), limit.get(), nowNanos)
                                && room(service.id()).places(view, service, nowNanos) > 0
                        ? 1
                        : 0;
            } else {
                freeSlots += Math.max(0, room(service.id()).places(view, service, nowNanos));
            }
        }
        return freeSlots;
    }

    /** Returns the number of servers of a service with a limit of which this process has a turn now. */
    int openTurns(RelayService service, int processes, long nowNanos) {
        int turns = 0;
        for (ServerView view : fleet.eligibleServers(service.id())) {
            Optional<SharedLimit> limit = limit(view, service, processes, nowNanos);
            if (limit.isPresent() && hasCapacity(view, service, processes, nowNanos)) {
                turns++;
            }
        }
        return turns;
    }

    /**
     * Returns how long calls have to wait because all servers of a service have asked for a pause or have named a limit.
     *
     * @param service the service to check
     * @param processes number of processes that share the rate limits of servers
     * @param nowNanos the monotonic time in nanoseconds
     */
    RequestedWait requestedWait(RelayService service, int processes, long nowNanos) {
        long shortestMillis = Long.MAX_VALUE;
        double perSecond = 0;
        for (ServerView view : fleet.eligibleServers(service.id())) {
            long pauseMillis = fleet.pauseMillis(view, nowNanos);
            Optional<SharedLimit> limit =
                    limit(view, service, processes, nowNanos).filter(SharedLimit::named);
            long limitMillis = limit.map(l ->
                            rate.waitMillis(view.server().id(), l, nowNanos).orElse(RequestedWait.NO_SHARE_MILLIS))
                    .orElse(0L);
            shortestMillis = Math.min(shortestMillis, Math.max(pauseMillis, limitMillis));
            perSecond += limit.map(l -> rate.ownPerSecond(view.server().id(), l, nowNanos))
                    .orElse(Double.POSITIVE_INFINITY);
        }
        return shortestMillis == Long.MAX_VALUE ? RequestedWait.NONE : new RequestedWait(shortestMillis, perSecond);
    }

    /** Returns the requests that a server accepts from all processes together, or empty if it accepts any number. */
    Optional<SharedLimit> limit(ServerView view, RelayService service, int processes, long nowNanos) {
        OptionalDouble named = fleet.limits().perSecond(view.server());
        if (service.coldPerSecond() > 0 && view.cold(service, nowNanos)) {
            return Optional.of(
                    SharedLimit.cold(Math.min(service.coldPerSecond(), named.orElse(Double.MAX_VALUE)), processes));
        }
        return named.isPresent() ? Optional.of(SharedLimit.named(named.getAsDouble(), processes)) : Optional.empty();
    }

    private boolean hasCapacity(ServerView view, RelayService service, int processes, long nowNanos) {
        if (fleet.pauseMillis(view, nowNanos) > 0) {
            return false;
        }
        boolean throttled = limit(view, service, processes, nowNanos)
                .filter(limit -> !rate.allows(view.server().id(), limit, nowNanos))
                .isPresent();
        return !throttled && room(service.id()).places(view, service, nowNanos) > 0;
    }

    private double cost(ServerView view, RelayService service, double uncachedTokens, long nowNanos) {
        return penalty(view, service, nowNanos)
                + expectedStart.ownMillis(view, service, speed(service.id()), uncachedTokens, nowNanos);
    }

    private double slowCost(Selection selection, RelayService service, long nowNanos) {
        ServerView view = selection.server();
        double millis =
                expectedStart.ownMillis(view, service, speed(service.id()), selection.uncachedTokens(), nowNanos);
        return penalty(view, service, nowNanos) + view.slowness(nowNanos) * millis;
    }

    private double sharedCost(Selection selection, RelayService service, long nowNanos) {
        ServerView view = selection.server();
        return penalty(view, service, nowNanos)
                + expectedStart.sharedMillis(view, service, speed(service.id()), selection.uncachedTokens(), nowNanos);
    }

    private double penalty(ServerView view, RelayService service, long nowNanos) {
        double cost = view.server().dataCentre().equals(localDataCentre) ? 0 : REMOTE_DATA_CENTRE_MILLIS;
        if (view.cold(service, nowNanos)) {
            cost += COLD_SERVER_MILLIS;
        }
        if (hasNamedLimit(view)) {
            cost -= OPEN_TURN_MILLIS;
        }
        return cost;
    }

    // Distributes calls over servers of equal cost.
    private static double tieBreak(RelayCall call, ServerView view) {
        return Hash.modulo(Hash.mix(call.arrivedNanos() ^ view.hash()), 1000) / 1000.0;
    }
}
