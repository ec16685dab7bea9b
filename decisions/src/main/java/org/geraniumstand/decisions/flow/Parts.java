package org.geraniumstand.decisions.flow;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.decisions.limits.Limits;
import org.geraniumstand.decisions.moves.MoveBoard;
import org.geraniumstand.decisions.routing.FleetView;
import org.geraniumstand.decisions.routing.PrefixIndex;
import org.geraniumstand.decisions.routing.ServerChoice;
import org.geraniumstand.decisions.routing.Targets;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;

/** The parts that the decisions of a process share. */
public final class Parts {
    private static final int RETRY_PERCENT_WITHOUT_PRESET = 10;

    private final FleetView fleet = new FleetView();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final ServerChoice choice = new ServerChoice(fleet, prefixes);
    private final Map<RequestId, Flight> flights = new LinkedHashMap<>();
    private final Map<ServiceId, ServiceWork> work = new TreeMap<>();
    private final Map<TeamId, Integer> weights = new HashMap<>();
    private final Limits limits;
    private final MoveBoard moves;
    private Optional<Configuration> configuration = Optional.empty();
    private Targets targets;
    private int retryPercent = RETRY_PERCENT_WITHOUT_PRESET;

    /**
     * Creates the parts of a process.
     *
     * @param self the process
     */
    public Parts(ProcessId self) {
        this.limits = new Limits(self, fleet);
        this.moves = new MoveBoard(self);
    }

    /**
     * Takes in a configuration.
     *
     * @param next the configuration in force
     */
    public void onConfiguration(Configuration next) {
        configuration = Optional.of(next);
        targets = Targets.of(next);
        retryPercent = next.preset().map(Preset::retryPercent).orElse(RETRY_PERCENT_WITHOUT_PRESET);
        weights.clear();
        for (Team team : next.teams()) {
            weights.put(team.id(), team.weight());
        }
    }

    /** Returns the backend servers. */
    public FleetView fleet() {
        return fleet;
    }

    /** Returns what is known of the servers' caches. */
    public PrefixIndex prefixes() {
        return prefixes;
    }

    /** Returns the choice of servers. */
    public ServerChoice choice() {
        return choice;
    }

    /** Returns the accepted requests that have not ended, the oldest first. */
    public Map<RequestId, Flight> flights() {
        return flights;
    }

    /** Returns the limits. */
    public Limits limits() {
        return limits;
    }

    /** Returns the version moves. */
    public MoveBoard moves() {
        return moves;
    }

    /** Returns the configuration in force, if any. */
    public Optional<Configuration> configuration() {
        return configuration;
    }

    /** Returns the latency targets; there are some only with a configuration. */
    Targets targets() {
        return targets;
    }

    /** Returns the retries allowed in a hundred successes. */
    int retryPercent() {
        return retryPercent;
    }

    /** Returns a team's weight. */
    int weight(TeamId team) {
        return weights.getOrDefault(team, 1);
    }

    /** Finds a service. */
    Optional<Service> service(ServiceId id) {
        return configuration.flatMap(c -> c.service(id));
    }

    /** Returns what is kept for a service. */
    ServiceWork work(ServiceId id) {
        return work.computeIfAbsent(id, _key -> ServiceWork.empty());
    }

    /** Returns the services that had work. */
    public List<ServiceId> services() {
        return List.copyOf(work.keySet());
    }

    /** Returns what is kept for each service. */
    Map<ServiceId, ServiceWork> allWork() {
        return work;
    }
}
