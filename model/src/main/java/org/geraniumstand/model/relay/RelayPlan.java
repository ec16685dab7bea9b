package org.geraniumstand.model.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumstand.model.id.ServiceId;

/** A version of the configuration of relayed calls; immutable. */
public final class RelayPlan {
    private final long version;
    private final Map<String, List<RelayRoute>> routesByHost;
    private final Map<ServiceId, RelayService> services = new HashMap<>();
    private final List<RelayTeam> teams;
    private final Map<String, RelayTeam> teamsByKey = new HashMap<>();
    private final CallerLimits limits;

    /**
     * Creates a plan.
     *
     * @param version grows with each change
     * @param routes all routes
     * @param services all services
     * @param teams all teams; where there is none, calls need no key
     * @param limits bounds of what callers may send
     */
    public RelayPlan(
            long version,
            List<RelayRoute> routes,
            List<RelayService> services,
            List<RelayTeam> teams,
            CallerLimits limits) {
        this.version = version;
        this.teams = List.copyOf(teams);
        this.limits = limits;
        this.routesByHost = routes.stream()
                .sorted(Comparator.comparingInt(route -> -route.pathPrefix().length()))
                .collect(Collectors.groupingBy(RelayRoute::host));
        services.forEach(service -> this.services.put(service.id(), service));
        teams.forEach(team -> team.keys().forEach(key -> teamsByKey.put(key, team)));
    }

    /** Returns the version. */
    public long version() {
        return version;
    }

    /** Returns the bounds of what callers may send. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns all teams. */
    public List<RelayTeam> teams() {
        return teams;
    }

    /** Returns all services. */
    public List<RelayService> services() {
        return List.copyOf(services.values());
    }

    /**
     * Finds the route of a host with the longest prefix of a path.
     *
     * @param host the host name without a port
     * @param path the path as the caller wrote it
     */
    public Optional<RelayRoute> route(String host, String path) {
        for (RelayRoute route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a service.
     *
     * @param id the service
     */
    public Optional<RelayService> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /**
     * Finds the team that holds a key.
     *
     * @param key the key
     */
    public Optional<RelayTeam> teamOf(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    /** Returns whether calls need a key unless their route is open. */
    public boolean asksForKeys() {
        return !teams.isEmpty();
    }
}
