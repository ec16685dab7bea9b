package org.geraniumstand.model.config;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.ServiceId;

/**
 * Holds the operators' configuration as one immutable document with one generation.
 *
 * @param generation number of the document, incremented by one with each accepted change
 * @param requiredLevel lowest protocol level that a process must support to apply the document
 * @param presetInForce identifier of the active preset
 * @param presets all presets
 * @param services all services
 * @param routes all routes
 * @param teams all teams
 * @param pools host classes and their prices
 * @param dataCentresOut evacuated data centres, which accept no new work
 * @param moves declared version moves, including ended ones
 * @param writer tokens of the latest changes, newest first and separated by spaces; a writer that received no response
 *     looks for its token here to find out whether its change took effect
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
    /** Makes defensive copies of the lists; missing lists become empty ones. */
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
     * Creates a document without change tokens.
     *
     * @param generation number of the document, incremented by one with each accepted change
     * @param requiredLevel lowest protocol level that a process must support to apply the document
     * @param presetInForce identifier of the active preset
     * @param presets all presets
     * @param services all services
     * @param routes all routes
     * @param teams all teams
     * @param pools host classes and their prices
     * @param dataCentresOut evacuated data centres, which accept no new work
     * @param moves declared version moves, including ended ones
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

    /** Returns the active preset, or nothing if no preset has its identifier. */
    public Optional<Preset> preset() {
        return presets.stream().filter(p -> p.id().equals(presetInForce)).findFirst();
    }

    /**
     * Returns the service with an identifier.
     *
     * @param id identifier of the service
     */
    public Optional<Service> service(ServiceId id) {
        return services.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /**
     * Returns the route whose prefix is the longest match for a path, compared in whole segments.
     *
     * @param path the request path
     */
    public Optional<Route> routeFor(String path) {
        return routes.stream()
                .filter(r -> r.matches(path))
                .max(Comparator.comparingInt(r -> r.pathPrefix().length()));
    }

    /**
     * Returns the version move of a service that is in progress.
     *
     * @param service the service
     */
    public Optional<VersionMove> moveInProgress(ServiceId service) {
        return moves.stream()
                .filter(m -> m.service().equals(service) && m.state() == MoveState.UNDER_WAY)
                .findFirst();
    }

    /**
     * Returns a copy of this document with another generation.
     *
     * @param newGeneration the generation of the copy
     */
    public Configuration withGeneration(long newGeneration) {
        return new Configuration(
                newGeneration,
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
     * Returns a copy of this document with another active preset.
     *
     * @param preset identifier of the preset to activate
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
     * Returns a copy of this document with another set of evacuated data centres.
     *
     * @param evacuated data centres that accept no new work
     */
    public Configuration withDataCentresOut(Set<DataCentreId> evacuated) {
        return new Configuration(
                generation,
                requiredLevel,
                presetInForce,
                presets,
                services,
                routes,
                teams,
                pools,
                evacuated,
                moves,
                writer);
    }

    /**
     * Returns a copy of this document with other version moves.
     *
     * @param newMoves all version moves, including ended ones
     */
    public Configuration withMoves(List<VersionMove> newMoves) {
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
                newMoves,
                writer);
    }

    /**
     * Returns a copy of this document with other services.
     *
     * @param newServices all services
     */
    public Configuration withServices(List<Service> newServices) {
        return new Configuration(
                generation,
                requiredLevel,
                presetInForce,
                presets,
                newServices,
                routes,
                teams,
                pools,
                dataCentresOut,
                moves,
                writer);
    }

    /**
     * Returns a copy of this document with other change tokens.
     *
     * @param tokens tokens of the latest changes, newest first and separated by spaces
     */
    public Configuration withChangeTokens(String tokens) {
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

    /** Returns an empty document with generation zero. */
    public static Configuration empty() {
        return new Configuration(
                0, 0, null, List.of(), List.of(), List.of(), List.of(), List.of(), Set.of(), List.of(), "");
    }
}
