package org.geraniumstand.model.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumstand.model.id.ServiceId;

/** Holds one version of the relay configuration; immutable. */
public final class RelayConfiguration {
    private final long version;
    private final Map<String, List<RelayRoute>> routesByHost;
    private final Map<ServiceId, RelayService> services = new HashMap<>();
    private final List<RelayTeam> teams;
    private final Map<String, RelayTeam> teamsByKey = new HashMap<>();
    private final CallerLimits limits;

    /**
     * Creates a configuration.
     *
     * @param version version number, which increases with each change
     * @param routes all routes
     * @param services all services
     * @param teams all teams; if there are none, calls need no API key
     * @param limits limits of callers' requests
     */
    public RelayConfiguration(
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

    /** Returns the version number. */
    public long version() {
        return version;
    }

    /** Returns the limits of callers' requests. */
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
     * Returns the route of a host whose path prefix is the longest match.
     *
     * @param host host name without a port
     * @param path request path as sent by the caller
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
     * Returns the service with an identifier.
     *
     * @param id identifier of the service
     */
    public Optional<RelayService> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /**
     * Returns the team that an API key belongs to.
     *
     * @param key the API key
     */
    public Optional<RelayTeam> teamWithApiKey(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    /** Returns whether calls need an API key, except on open routes. */
    public boolean requiresApiKeys() {
        return !teams.isEmpty();
    }
}
