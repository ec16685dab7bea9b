package org.geraniumstand.decisions.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.DecisionSummaries;
import org.geraniumstand.decisions.routing.ServerCapacity;
import org.geraniumstand.decisions.routing.ServerRegistry;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/**
 * Limits the number of requests that this process may have in flight at each backend server.
 *
 * <p>For the servers that this process owns, it adapts the budget and grants concurrency to other processes; for the
 * others, it sends demands to their owners and applies the grants received.
 */
public final class ConcurrencyLimits implements ServerCapacity {
    private static final double LATE_RATIO = 1.3;
    private static final double OVERLOAD_SLOWNESS = 2.5;

    private final ProcessId self;
    private final ServerRegistry fleet;
    private final Map<ServerId, OwnedServer> ownedServers = new TreeMap<>();
    private final HeldGrants heldGrants = new HeldGrants();
    private final ColdServerDetector coldDetector = new ColdServerDetector();
    private final DemandSchedule demandSchedule = new DemandSchedule();
    private Optional<Configuration> configuration = Optional.empty();
    private List<ProcessId> processes;
    private ServerOwners owners;
    private boolean hadPeers;
    private Timestamp now = new Timestamp(0, 0);

    /**
     * Creates the limits of a process.
     *
     * @param self the process
     * @param fleet the backend servers
     */
    public ConcurrencyLimits(ProcessId self, ServerRegistry fleet) {
        this.self = self;
        this.fleet = fleet;
        this.processes = List.of(self);
        this.owners = new RendezvousServerOwners(processes);
    }

    /**
     * Updates the current time; must be called for every observation.
     *
     * @param current the current time
     */
    public void onTime(Timestamp current) {
        now = current;
        heldGrants.onTime(current);
    }

    /**
     * Applies a configuration.
     *
     * @param next the configuration in force
     */
    public List<Action> onConfiguration(Configuration next) {
        configuration = Optional.of(next);
        for (Map.Entry<ServerId, OwnedServer> entry : ownedServers.entrySet()) {
            serviceOf(entry.getKey()).ifPresent(s -> entry.getValue().budget().onService(s));
        }
        return updateOwnedServers();
    }

    /**
     * Updates the live members, among which the servers are divided.
     *
     * @param members all live members, including this process
     */
    public List<Action> onMembers(List<Member> members) {
        List<ProcessId> remaining = new ArrayList<>();
        for (Member member : members) {
            if (!member.stopping()) {
                remaining.add(member.id());
            }
        }
        processes = remaining.isEmpty() ? List.of(self) : remaining;
        hadPeers |= processes.size() > 1;
        owners = new RendezvousServerOwners(processes);
        fleet.onMembers(self, processes.size());
        return updateOwnedServers();
    }

    /** Updates the state after the list of backend servers has changed. */
    public List<Action> onFleet() {
        Set<ServerId> listed = new HashSet<>();
        fleet.all().forEach(s -> listed.add(s.server().id()));
        heldGrants.retain(listed);
        coldDetector.retain(listed);
        return updateOwnedServers();
    }

    private List<Action> updateOwnedServers() {
        Set<ServerId> before = Set.copyOf(ownedServers.keySet());
        Map<ServerId, BackendServer> next = new TreeMap<>();
        for (ServerState state : fleet.all()) {
            ServerId id = state.server().id();
            if (owns(id) && serviceOf(id).isPresent()) {
                next.put(id, state.server());
            }
        }
        ownedServers.keySet().retainAll(next.keySet());
        // Grants of the previous owner may still be in use, so a new owner waits until all of them have expired.
        Timestamp grantsFrom = hadPeers ? now.plus(Duration.ofMillis(GrantAllocator.EXPIRY_MILLIS)) : now;
        next.keySet()
                .forEach(id -> ownedServers.computeIfAbsent(
                        id, key -> new OwnedServer(key, self, serviceOf(key).orElseThrow(), grantsFrom)));
        if (before.equals(ownedServers.keySet())) {
            return List.of();
        }
        return List.of(new Action.PollServers(List.copyOf(next.values())));
    }

    private boolean owns(ServerId id) {
        return owners.ownerOf(id).filter(self::equals).isPresent();
    }

    private Optional<Service> serviceOf(ServerId id) {
        return fleet.find(id)
                .flatMap(s -> configuration.flatMap(c -> c.service(s.server().service())));
    }

    /**
     * Applies a load report of a server; ignored unless this process owns the server.
     *
     * @param state the server
     * @param report the report
     */
    public List<Action> onReport(ServerState state, LoadReport report) {
        OwnedServer owned = ownedServers.get(state.server().id());
        if (owned == null) {
            return List.of();
        }
        boolean warmBefore = owned.budget().warm();
        owned.budget().onReport(report, now);
        return warmBefore && !owned.budget().warm() ? onCold(state) : List.of();
    }

    /**
     * Records the demands of other processes and returns the grants to send.
     *
     * @param demands the demands
     */
    public List<Action> onDemands(List<Demand> demands) {
        for (Demand demand : demands) {
            OwnedServer owned = ownedServers.get(demand.server());
            if (owned != null) {
                owned.onDemand(demand, now);
            }
        }
        return sendGrants();
    }

    /**
     * Stores received grants; ignores those that were not sent by the server's owner.
     *
     * @param sender the process that sent the grants
     * @param grants the grants
     */
    public void onGrants(ProcessId sender, List<Grant> grants) {
        List<Grant> valid = new ArrayList<>();
        for (Grant grant : grants) {
            boolean sentByOwner =
                    owners.ownerOf(grant.server()).filter(sender::equals).isPresent();
            if (sentByOwner && grant.holder().equals(self)) {
                valid.add(grant);
            }
        }
        heldGrants.onGrants(valid, now);
    }

    /**
     * Records a measured latency of a server.
     *
     * @param state the server
     * @param ratio measured time divided by the time expected of the server's service and host class
     * @param late whether the measured time exceeds the latency target
     * @param firstToken true for the time to the first token, false for the time between tokens
     */
    public List<Action> onLatencyRatio(ServerState state, double ratio, boolean late, boolean firstToken) {
        OwnedServer owned = ownedServers.get(state.server().id());
        double earlierRatio = state.slowness();
        state.recordLatencyRatio(ratio);
        if (warm(state) && coldDetector.onLatencyRatio(state.server().id(), ratio, earlierRatio, now)) {
            return onColdSuspected(state);
        }
        if (owned == null) {
            return List.of();
        }
        // A single slow interval may be caused by a long prompt of another request; a server that stays slow is
        // overloaded.
        boolean overloaded = !firstToken && state.slowness() > OVERLOAD_SLOWNESS;
        if (late && overloaded) {
            owned.budget().onFailure(now);
        } else if (late && ratio > LATE_RATIO) {
            owned.budget().onLateToken(now);
        } else if (!late) {
            owned.budget().onSuccess(false, now);
        }
        return List.of();
    }

    /**
     * Records that a token of a server is long overdue. The only conclusion drawn from it is that the server may be
     * cold.
     *
     * @param state the server
     * @param ratio time waited so far divided by the expected time
     */
    public List<Action> onOverdueToken(ServerState state, double ratio) {
        if (warm(state) && coldDetector.onLatencyRatio(state.server().id(), ratio, state.slowness(), now)) {
            return onColdSuspected(state);
        }
        return List.of();
    }

    /**
     * Records that a server completed or failed a request.
     *
     * @param state the server
     * @param completed true if the request was completed, false if it failed
     */
    public void onEnded(ServerState state, boolean completed) {
        OwnedServer owned = ownedServers.get(state.server().id());
        if (owned == null) {
            return;
        }
        if (completed) {
            owned.budget().onSuccess(true, now);
        } else {
            owned.budget().onFailure(now);
        }
    }

    /** Drops this process's grant immediately and reports the suspicion to the server's owner. */
    private List<Action> onColdSuspected(ServerState state) {
        ServerId id = state.server().id();
        OwnedServer owned = ownedServers.get(id);
        if (owned != null) {
            owned.budget().onColdSuspected(now);
            return owned.budget().warm() ? List.of() : onCold(state);
        }
        heldGrants.drop(id, now);
        List<Action> actions = new ArrayList<>();
        Demand demand = new Demand(id, self, state.inFlight(), Demand.SUSPECTS_COLD);
        owners.ownerOf(id).ifPresent(owner -> actions.add(new Action.SendDemands(owner, List.of(demand))));
        actions.add(coldEvent(id));
        return actions;
    }

    private List<Action> onCold(ServerState state) {
        heldGrants.drop(state.server().id(), now);
        List<Action> actions = new ArrayList<>(sendGrants());
        actions.add(coldEvent(state.server().id()));
        return actions;
    }

    private static Action coldEvent(ServerId server) {
        return new Action.RecordEvent(
                EventKind.SERVER_WARMTH,
                DecisionSummaries.of(ColdServerDetector.class),
                List.of(Field.of("server", server), Field.of("warm", false)));
    }

    /**
     * Returns the grants and demands that are due.
     *
     * @param waiting number of waiting requests by server
     */
    public List<Action> onTick(WaitingRequests waiting) {
        List<Action> actions = new ArrayList<>(sendGrants());
        actions.addAll(demandSchedule.onTick(demandsByOwner(waiting), now));
        return actions;
    }

    /**
     * Returns the demands to send immediately because requests wait that no grant covers.
     *
     * @param waiting number of waiting requests by server
     */
    public List<Action> onShortage(WaitingRequests waiting) {
        List<Action> actions = new ArrayList<>(demandSchedule.onShortage(demandsByOwner(waiting), now));
        actions.addAll(sendGrants());
        return actions;
    }

    private Map<ProcessId, List<Demand>> demandsByOwner(WaitingRequests waiting) {
        Map<ProcessId, List<Demand>> demands = new TreeMap<>();
        for (ServerState state : fleet.all()) {
            if (!fleet.uses(state) && state.inFlight() == 0) {
                continue;
            }
            ServerId id = state.server().id();
            int demanded = state.inFlight();
            if (fleet.uses(state)) {
                demanded += waiting.countFor(state);
            }
            OwnedServer owned = ownedServers.get(id);
            if (owned != null) {
                owned.setOwnDemand(demanded);
                continue;
            }
            Demand demand = new Demand(id, self, state.inFlight(), demanded);
            owners.ownerOf(id)
                    .ifPresent(owner -> demands.computeIfAbsent(owner, _key -> new ArrayList<>())
                            .add(demand));
        }
        return demands;
    }

    private List<Action> sendGrants() {
        Map<ProcessId, List<Grant>> grantsByHolder = new TreeMap<>();
        for (Map.Entry<ServerId, OwnedServer> entry : ownedServers.entrySet()) {
            int ownInFlight =
                    fleet.find(entry.getKey()).map(ServerState::inFlight).orElse(0);
            for (Grant grant : entry.getValue().allocate(ownInFlight, now)) {
                grantsByHolder
                        .computeIfAbsent(grant.holder(), _key -> new ArrayList<>())
                        .add(grant);
            }
        }
        List<Action> actions = new ArrayList<>();
        grantsByHolder.forEach((holder, grants) -> actions.add(new Action.SendGrants(holder, grants)));
        return actions;
    }

    @Override
    public int spareConcurrency(ServerState state) {
        ServerId id = state.server().id();
        OwnedServer owned = ownedServers.get(id);
        if (owned != null && owned.mayGrant(now)) {
            return owned.ownConcurrency(now) - state.inFlight();
        }
        return heldGrants.concurrency(id, now) - state.inFlight();
    }

    @Override
    public boolean warm(ServerState state) {
        ServerId id = state.server().id();
        OwnedServer owned = ownedServers.get(id);
        if (owned != null && owned.mayGrant(now)) {
            return owned.budget().warm();
        }
        return heldGrants.warm(id);
    }

    /**
     * Returns whether the server's owner has determined whether the server is warm or cold.
     *
     * @param state the server
     */
    public boolean knowsWarmth(ServerState state) {
        ServerId id = state.server().id();
        OwnedServer owned = ownedServers.get(id);
        return (owned != null && owned.mayGrant(now)) || heldGrants.contains(id);
    }

    /** Returns the number of processes that share the backend servers. */
    public int processes() {
        return processes.size();
    }

    /** Counts the waiting requests that could be sent to a server. */
    @FunctionalInterface
    public interface WaitingRequests {
        /**
         * Returns the number of waiting requests that could be sent to a server.
         *
         * @param state the server
         */
        int countFor(ServerState state);
    }
}
