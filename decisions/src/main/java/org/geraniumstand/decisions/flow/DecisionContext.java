package org.geraniumstand.decisions.flow;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumstand.decisions.limits.ConcurrencyLimits;
import org.geraniumstand.decisions.moves.MoveController;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.decisions.routing.LatencyTargets;
import org.geraniumstand.decisions.routing.PrefixIndex;
import org.geraniumstand.decisions.routing.ServerRegistry;
import org.geraniumstand.decisions.routing.ServerSelector;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;

/** Holds the state that the decisions of a process share. */
public final class DecisionContext {
    private static final int RETRY_PERCENT_WITHOUT_PRESET = 10;

    private final ServerRegistry fleet = new ServerRegistry();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final ServerSelector serverSelector = new ServerSelector(fleet, prefixes);
    private final Map<RequestId, InFlightRequest> requests = new LinkedHashMap<>();
    private final Map<ServiceId, ServiceState> serviceStates = new TreeMap<>();
    private final Map<TeamId, Integer> teamWeights = new HashMap<>();
    private final ConcurrencyLimits limits;
    private final MoveController moves;
    private Optional<Configuration> configuration = Optional.empty();
    private LatencyTargets targets;
    private int retryPercent = RETRY_PERCENT_WITHOUT_PRESET;

    /**
     * Creates the state of a process without a configuration.
     *
     * @param self the process
     */
    public DecisionContext(ProcessId self) {
        this.limits = new ConcurrencyLimits(self, fleet);
        this.moves = new MoveController(self);
    }

    /**
     * Applies a configuration.
     *
     * @param next the configuration in force
     */
    public void onConfiguration(Configuration next) {
        configuration = Optional.of(next);
        targets = LatencyTargets.of(next);
        retryPercent = next.preset().map(Preset::retryPercent).orElse(RETRY_PERCENT_WITHOUT_PRESET);
        teamWeights.clear();
        for (Team team : next.teams()) {
            teamWeights.put(team.id(), team.weight());
        }
    }

    /** Returns the backend servers. */
    public ServerRegistry fleet() {
        return fleet;
    }

    /** Returns the index of the servers' prefix caches. */
    public PrefixIndex prefixes() {
        return prefixes;
    }

    /** Returns the server selector. */
    public ServerSelector serverSelector() {
        return serverSelector;
    }

    /** Returns the accepted requests that have not ended, the oldest first. */
    public Map<RequestId, InFlightRequest> requests() {
        return requests;
    }

    /** Returns the concurrency limits of the backend servers. */
    public ConcurrencyLimits limits() {
        return limits;
    }

    /** Returns the version moves. */
    public MoveController moves() {
        return moves;
    }

    /** Returns the configuration in force, or empty if there is none yet. */
    public Optional<Configuration> configuration() {
        return configuration;
    }

    /** Returns the latency targets, or null if no configuration is in force yet. */
    LatencyTargets targets() {
        return targets;
    }

    /** Returns the retries allowed per hundred successful requests. */
    int retryPercent() {
        return retryPercent;
    }

    /** Returns a team's weight, 1 if none is configured. */
    int weight(TeamId team) {
        return teamWeights.getOrDefault(team, 1);
    }

    /** Returns the configuration of a service, or empty if the service is not configured. */
    Optional<Service> service(ServiceId id) {
        return configuration.flatMap(c -> c.service(id));
    }

    /** Returns the state of a service, creating it if necessary. */
    ServiceState serviceState(ServiceId id) {
        return serviceStates.computeIfAbsent(id, _key -> ServiceState.empty());
    }

    /** Returns the services that have a state. */
    public List<ServiceId> services() {
        return List.copyOf(serviceStates.keySet());
    }

    /** Returns the state of each service. */
    Map<ServiceId, ServiceState> serviceStates() {
        return serviceStates;
    }
}
