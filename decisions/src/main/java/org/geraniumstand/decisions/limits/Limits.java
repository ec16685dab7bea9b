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
import org.geraniumstand.decisions.Reasons;
import org.geraniumstand.decisions.routing.FleetView;
import org.geraniumstand.decisions.routing.Room;
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
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** How many requests this process may have at each backend server, as keeper of some and as user of the others. */
public final class Limits implements Room {
    private static final double SLOWER = 1.3;
    private static final double LASTINGLY_SLOWER = 2.5;

    private final ProcessId self;
    private final FleetView fleet;
    private final Map<ServerId, KeptServer> kept = new TreeMap<>();
    private final GrantBook book = new GrantBook();
    private final ColdSuspicion suspicion = new ColdSuspicion();
    private final DemandPlan demands = new DemandPlan();
    private Optional<Configuration> configuration = Optional.empty();
    private List<ProcessId> processes;
    private Keepers keepers;
    private boolean hadPeers;
    private Moment now = new Moment(0, 0);

    /**
     * Creates the limits of a process.
     *
     * @param self the process
     * @param fleet the backend servers
     */
    public Limits(ProcessId self, FleetView fleet) {
        this.self = self;
        this.fleet = fleet;
        this.processes = List.of(self);
        this.keepers = new RendezvousKeepers(processes);
    }

    /**
     * Lets time pass; must be called for every observation.
     *
     * @param current the time
     */
    public void onTime(Moment current) {
        now = current;
        book.onTime(current);
    }

    /**
     * Takes in a configuration.
     *
     * @param next the configuration in force
     */
    public List<Action> onConfiguration(Configuration next) {
        configuration = Optional.of(next);
        for (Map.Entry<ServerId, KeptServer> entry : kept.entrySet()) {
            serviceOf(entry.getKey()).ifPresent(s -> entry.getValue().budget().onService(s));
        }
        return rekeep();
    }

    /**
     * Takes in the live members.
     *
     * @param members all live members, this process included
     */
    public List<Action> onMembers(List<Member> members) {
        List<ProcessId> staying = new ArrayList<>();
        for (Member member : members) {
            if (!member.stopping()) {
                staying.add(member.id());
            }
        }
        processes = staying.isEmpty() ? List.of(self) : staying;
        hadPeers |= processes.size() > 1;
        keepers = new RendezvousKeepers(processes);
        fleet.onMembers(self, processes.size());
        return rekeep();
    }

    /** Takes in that the list of backend servers changed. */
    public List<Action> onFleet() {
        Set<ServerId> listed = new HashSet<>();
        fleet.all().forEach(s -> listed.add(s.server().id()));
        book.retain(listed);
        suspicion.retain(listed);
        return rekeep();
    }

    private List<Action> rekeep() {
        Set<ServerId> before = Set.copyOf(kept.keySet());
        Map<ServerId, BackendServer> mine = new TreeMap<>();
        for (ServerState state : fleet.all()) {
            ServerId id = state.server().id();
            if (keeps(id) && serviceOf(id).isPresent()) {
                mine.put(id, state.server());
            }
        }
        kept.keySet().retainAll(mine.keySet());
        // Grants of the keeper before may still be used, so a new one waits until they have all run out.
        Moment from = hadPeers ? now.plus(Duration.ofMillis(GrantLedger.GRANT_TIME_MILLIS)) : now;
        mine.keySet()
                .forEach(id -> kept.computeIfAbsent(
                        id, key -> new KeptServer(key, self, serviceOf(key).orElseThrow(), from)));
        if (before.equals(kept.keySet())) {
            return List.of();
        }
        return List.of(new Action.KeepServers(List.copyOf(mine.values())));
    }

    private boolean keeps(ServerId id) {
        return keepers.keeperOf(id).filter(self::equals).isPresent();
    }

    private Optional<Service> serviceOf(ServerId id) {
        return fleet.find(id)
                .flatMap(s -> configuration.flatMap(c -> c.service(s.server().service())));
    }

    /**
     * Takes in a load report of a server that this process keeps.
     *
     * @param state the server
     * @param report the report
     */
    public List<Action> onReport(ServerState state, LoadReport report) {
        KeptServer server = kept.get(state.server().id());
        if (server == null) {
            return List.of();
        }
        boolean before = server.budget().warm();
        server.budget().onReport(report, now);
        return before && !server.budget().warm() ? cold(state) : List.of();
    }

    /**
     * Takes in wishes of other processes.
     *
     * @param wishes the wishes
     */
    public List<Action> onDemands(List<Demand> wishes) {
        for (Demand demand : wishes) {
            KeptServer server = kept.get(demand.server());
            if (server != null) {
                server.onDemand(demand, now);
            }
        }
        return sendGrants();
    }

    /**
     * Takes in grants; those of a process that is not the keeper are ignored.
     *
     * @param keeper the process that grants
     * @param grants the grants
     */
    public void onGrants(ProcessId keeper, List<Grant> grants) {
        List<Grant> valid = new ArrayList<>();
        for (Grant grant : grants) {
            boolean right =
                    keepers.keeperOf(grant.server()).filter(keeper::equals).isPresent();
            if (right && grant.holder().equals(self)) {
                valid.add(grant);
            }
        }
        book.onGrants(valid, now);
    }

    /**
     * Takes in how an answer compared with what was expected.
     *
     * @param state the server
     * @param ratio time seen against time expected of the server's class
     * @param late whether it missed the latency target
     * @param first whether it is about the first token
     */
    public List<Action> onRatio(ServerState state, double ratio, boolean late, boolean first) {
        KeptServer server = kept.get(state.server().id());
        double past = state.slowness();
        state.onRatio(ratio);
        if (warm(state) && suspicion.onRatio(state.server().id(), ratio, past, now)) {
            return suspect(state);
        }
        if (server == null) {
            return List.of();
        }
        // One slow stretch may be somebody's long prompt; a server that stays slow has too much to do.
        boolean lasting = !first && state.slowness() > LASTINGLY_SLOWER;
        if (late && lasting) {
            server.budget().onBad(now);
        } else if (late && ratio > SLOWER) {
            server.budget().onLate(now);
        } else if (!late) {
            server.budget().onGood(false, now);
        }
        return List.of();
    }

    /**
     * Takes in that an answer of a server is missing for long; nothing is concluded from it but that the server may
     * be cold.
     *
     * @param state the server
     * @param ratio time waited against time expected
     */
    public List<Action> onMissing(ServerState state, double ratio) {
        if (warm(state) && suspicion.onRatio(state.server().id(), ratio, state.slowness(), now)) {
            return suspect(state);
        }
        return List.of();
    }

    /**
     * Takes in that a server completed a request or failed one.
     *
     * @param state the server
     * @param good whether it was completed
     */
    public void onEnded(ServerState state, boolean good) {
        KeptServer server = kept.get(state.server().id());
        if (server == null) {
            return;
        }
        if (good) {
            server.budget().onGood(true, now);
        } else {
            server.budget().onBad(now);
        }
    }

    /** Drops this process's own share at once and tells the keeper. */
    private List<Action> suspect(ServerState state) {
        ServerId id = state.server().id();
        KeptServer server = kept.get(id);
        if (server != null) {
            server.budget().onSuspicion(now);
            return server.budget().warm() ? List.of() : cold(state);
        }
        book.drop(id, now);
        List<Action> actions = new ArrayList<>();
        Demand demand = new Demand(id, self, state.inFlight(), Demand.SUSPECTS_COLD);
        keepers.keeperOf(id).ifPresent(k -> actions.add(new Action.SendDemands(k, List.of(demand))));
        actions.add(note(id));
        return actions;
    }

    private List<Action> cold(ServerState state) {
        book.drop(state.server().id(), now);
        List<Action> actions = new ArrayList<>(sendGrants());
        actions.add(note(state.server().id()));
        return actions;
    }

    private static Action note(ServerId server) {
        return new Action.Note(
                EventKind.SERVER_WARMTH,
                Reasons.of(ColdSuspicion.class),
                List.of(Field.of("server", server), Field.of("warm", false)));
    }

    /**
     * Lets time pass.
     *
     * @param waiting requests that wait, by service
     */
    public List<Action> onTick(Waiting waiting) {
        List<Action> actions = new ArrayList<>(sendGrants());
        actions.addAll(demands.onTick(others(waiting), now));
        return actions;
    }

    /**
     * Asks for more as requests of a service wait that no grant covers.
     *
     * @param waiting requests that wait, by service
     */
    public List<Action> onShort(Waiting waiting) {
        List<Action> actions = new ArrayList<>(demands.onShort(others(waiting), now));
        actions.addAll(sendGrants());
        return actions;
    }

    private Map<ProcessId, List<Demand>> others(Waiting waiting) {
        Map<ProcessId, List<Demand>> wishes = new TreeMap<>();
        for (ServerState state : fleet.all()) {
            if (!fleet.uses(state) && state.inFlight() == 0) {
                continue;
            }
            ServerId id = state.server().id();
            int wanted = state.inFlight();
            if (fleet.uses(state)) {
                wanted += waiting.at(state);
            }
            KeptServer own = kept.get(id);
            if (own != null) {
                own.want(wanted);
                continue;
            }
            Demand demand = new Demand(id, self, state.inFlight(), wanted);
            keepers.keeperOf(id)
                    .ifPresent(k ->
                            wishes.computeIfAbsent(k, _key -> new ArrayList<>()).add(demand));
        }
        return wishes;
    }

    private List<Action> sendGrants() {
        Map<ProcessId, List<Grant>> byHolder = new TreeMap<>();
        for (Map.Entry<ServerId, KeptServer> entry : kept.entrySet()) {
            int own = fleet.find(entry.getKey()).map(ServerState::inFlight).orElse(0);
            for (Grant grant : entry.getValue().allocate(own, now)) {
                byHolder.computeIfAbsent(grant.holder(), _key -> new ArrayList<>())
                        .add(grant);
            }
        }
        List<Action> actions = new ArrayList<>();
        byHolder.forEach((holder, grants) -> actions.add(new Action.SendGrants(holder, grants)));
        return actions;
    }

    @Override
    public int spare(ServerState state) {
        ServerId id = state.server().id();
        KeptServer server = kept.get(id);
        if (server != null && server.grants(now)) {
            return server.own(now) - state.inFlight();
        }
        return book.concurrency(id, now) - state.inFlight();
    }

    @Override
    public boolean warm(ServerState state) {
        ServerId id = state.server().id();
        KeptServer server = kept.get(id);
        if (server != null && server.grants(now)) {
            return server.budget().warm();
        }
        return book.warm(id);
    }

    /**
     * Returns whether a server's keeper has said whether it is warm.
     *
     * @param state the server
     */
    public boolean knowsWarmth(ServerState state) {
        ServerId id = state.server().id();
        KeptServer server = kept.get(id);
        return (server != null && server.grants(now)) || book.knows(id);
    }

    /** Returns the processes that share the backend servers. */
    public int processes() {
        return processes.size();
    }

    /** Tells how many waiting requests would like to go to a server. */
    @FunctionalInterface
    public interface Waiting {
        /**
         * Returns the requests that would like to go to a server.
         *
         * @param state the server
         */
        int at(ServerState state);
    }
}
