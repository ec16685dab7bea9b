package org.geraniumstand.model.config;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.ServiceId;

/**
 * The operators' configuration: one document with one generation.
 *
 * @param generation grows by one with each accepted change
 * @param requiredLevel lowest protocol level that a process needs to apply the document
 * @param presetInForce the preset in force
 * @param presets all presets
 * @param services all services
 * @param routes all routes
 * @param teams all teams
 * @param pools classes of hosts and their prices
 * @param dataCentresOut data centres that take no new work
 * @param moves declared version moves, ended ones included
 * @param writer tokens of the latest changes, newest first and separated by spaces, by which a writer whose answer was
 *     lost finds out whether its change took effect
 */
public record Configuration(
        long generation,
        int requiredLevel,
        PresetId presetInForce,
        List<Preset> presets,
        List<Service> services,
        List<Route> routes,
        List<Team> teams,
        List<HostPool> pools,
        Set<DataCentreId> dataCentresOut,
        List<VersionMove> moves,
        String writer) {
    /** Copies the lists so that the document cannot change. */
    public Configuration {
        presets = copy(presets);
        services = copy(services);
        routes = copy(routes);
        teams = copy(teams);
        pools = copy(pools);
        dataCentresOut = dataCentresOut == null ? Set.of() : Set.copyOf(dataCentresOut);
        moves = copy(moves);
        writer = writer == null ? "" : writer;
    }

    /**
     * Creates a document that no change has been recorded in.
     *
     * @param generation grows by one with each accepted change
     * @param requiredLevel lowest protocol level that a process needs to apply the document
     * @param presetInForce the preset in force
     * @param presets all presets
     * @param services all services
     * @param routes all routes
     * @param teams all teams
     * @param pools classes of hosts and their prices
     * @param dataCentresOut data centres that take no new work
     * @param moves declared version moves, ended ones included
     */
    public Configuration(
            long generation,
            int requiredLevel,
            PresetId presetInForce,
            List<Preset> presets,
            List<Service> services,
            List<Route> routes,
            List<Team> teams,
            List<HostPool> pools,
            Set<DataCentreId> dataCentresOut,
            List<VersionMove> moves) {
        this(
                generation,
                requiredLevel,
                presetInForce,
                presets,
                services,
                routes,
                teams,
                pools,
                dataCentresOut,
                moves,
                "");
    }

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /** Returns the preset in force. */
    public Optional<Preset> preset() {
        return presets.stream().filter(p -> p.id().equals(presetInForce)).findFirst();
    }

    /**
     * Finds a service.
     *
     * @param id the service
     */
    public Optional<Service> service(ServiceId id) {
        return services.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /**
     * Finds the route with the longest prefix of a path, in whole segments.
     *
     * @param path the request path
     */
    public Optional<Route> routeFor(String path) {
        return routes.stream()
                .filter(r -> r.matches(path))
                .max(Comparator.comparingInt(r -> r.pathPrefix().length()));
    }

    /**
     * Finds the version move of a service that is under way.
     *
     * @param service the service
     */
    public Optional<VersionMove> moveOf(ServiceId service) {
        return moves.stream()
                .filter(m -> m.service().equals(service) && m.state() == MoveState.UNDER_WAY)
                .findFirst();
    }

    /**
     * Returns this document at another generation.
     *
     * @param next the generation
     */
    public Configuration withGeneration(long next) {
        return new Configuration(
                next,
                requiredLevel,
                presetInForce,
                presets,
                services,
                routes,
                teams,
                pools,
                dataCentresOut,
                moves,
                writer);
    }

    /**
     * Returns this document with another preset in force.
     *
     * @param preset the preset
     */
    public Configuration withPreset(PresetId preset) {
        return new Configuration(
                generation,
                requiredLevel,
                preset,
                presets,
                services,
                routes,
                teams,
                pools,
                dataCentresOut,
                moves,
                writer);
    }

    /**
     * Returns this document with other data centres out.
     *
     * @param out the data centres that take no new work
     */
    public Configuration withDataCentresOut(Set<DataCentreId> out) {
        return new Configuration(
                generation, requiredLevel, presetInForce, presets, services, routes, teams, pools, out, moves, writer);
    }

    /**
     * Returns this document with other version moves.
     *
     * @param next all moves
     */
    public Configuration withMoves(List<VersionMove> next) {
        return new Configuration(
                generation,
                requiredLevel,
                presetInForce,
                presets,
                services,
                routes,
                teams,
                pools,
                dataCentresOut,
                next,
                writer);
    }

    /**
     * Returns this document with other services.
     *
     * @param next all services
     */
    public Configuration withServices(List<Service> next) {
        return new Configuration(
                generation,
                requiredLevel,
                presetInForce,
                presets,
                next,
                routes,
                teams,
                pools,
                dataCentresOut,
                moves,
                writer);
    }

    /**
     * Returns this document with other tokens of its latest changes.
     *
     * @param tokens the tokens, newest first and separated by spaces
     */
    public Configuration withWriter(String tokens) {
        return new Configuration(
                generation,
                requiredLevel,
                presetInForce,
                presets,
                services,
                routes,
                teams,
                pools,
                dataCentresOut,
                moves,
                tokens);
    }

    /** Returns an empty document without a generation. */
    public static Configuration empty() {
        return new Configuration(
                0, 0, null, List.of(), List.of(), List.of(), List.of(), List.of(), Set.of(), List.of(), "");
    }
}
