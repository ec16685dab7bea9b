package org.geraniumstand.decisions.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/**
 * Selects the backend server for a request.
 *
 * <p>If a service has few servers, all of them are compared. If it has many, only the servers that hold a prefix of the
 * prompt and a few that the request's hash picks are compared; all servers are compared only if none of these has spare
 * concurrency.
 */
@Decision(
        name = "server-choice",
        summary = "The request is sent to the server with spare concurrency that has the lowest engine cost; servers"
                + " that failed the request are used last.")
public final class ServerSelector {
    private static final int COMPARE_ALL_MAX = 24;
    private static final int HASH_PICKS = 8;

    private final ServerRegistry fleet;
    private final PrefixIndex prefixes;
    private final PrefixIndex.Matches matches = new PrefixIndex.Matches();
    private Optional<DataCentreId> ownDataCentre = Optional.empty();
    private int processCount = 1;
    private ServerState best;
    private double bestCost;

    /**
     * Holds the request to select a server for, and the constraints on the selection.
     *
     * @param facts the request
     * @param service the request's service
     * @param versions versions that may serve the request, in order of preference
     * @param avoid servers to which the request was sent before
     * @param targets the latency targets
     */
    public record Query(
            RequestInfo facts,
            Service service,
            List<VersionId> versions,
            Set<ServerId> avoid,
            LatencyTargets targets) {}

    /**
     * Creates a selector.
     *
     * @param fleet the backend servers
     * @param prefixes index of the servers' prefix caches
     */
    public ServerSelector(ServerRegistry fleet, PrefixIndex prefixes) {
        this.fleet = fleet;
        this.prefixes = prefixes;
    }

    /**
     * Updates the processes that share the servers.
     *
     * @param dataCentre data centre of this process, if known
     * @param processes number of processes that share a server
     */
    public void onMembers(Optional<DataCentreId> dataCentre, int processes) {
        ownDataCentre = dataCentre;
        processCount = Math.max(1, processes);
    }

    /**
     * Returns the server to send a request to, or empty if no server has spare concurrency.
     *
     * @param query the request and its constraints
     * @param capacity the concurrency available at each server
     * @param now the current time
     */
    public Optional<ServerState> select(Query query, ServerCapacity capacity, Timestamp now) {
        prefixes.find(query.facts().prefixBlocks(), now.nanos() / Timestamp.NANOS_PER_MILLI, matches);
        long hash = Hash.of(query.facts().id().value());
        for (VersionId version : query.versions()) {
            ServerState selected =
                    selectFrom(query, fleet.usable(query.service().id(), version), capacity, hash, now);
            if (selected != null) {
                return Optional.of(selected);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the cost of a request at one server divided by its cost at the preferred server.
     *
     * @param preferred the server that would be selected if all servers had spare concurrency
     * @param other the server to compare
     * @param query the request and its constraints
     * @param capacity the concurrency available at each server
     * @param now the current time
     */
    public double costRatio(
            ServerState preferred, ServerState other, Query query, ServerCapacity capacity, Timestamp now) {
        prefixes.find(query.facts().prefixBlocks(), now.nanos() / Timestamp.NANOS_PER_MILLI, matches);
        return cost(query, other, capacity.spareConcurrency(other), now)
                / cost(query, preferred, capacity.spareConcurrency(preferred), now);
    }

    /**
     * Returns the estimated number of prompt tokens that a server would have to compute.
     *
     * @param info the request
     * @param state the server
     * @param now the current time
     */
    public double uncachedTokens(RequestInfo info, ServerState state, Timestamp now) {
        prefixes.find(info.prefixBlocks(), now.nanos() / Timestamp.NANOS_PER_MILLI, matches);
        return info.promptTokens() - cachedTokens(info, state);
    }

    private double cachedTokens(RequestInfo info, ServerState state) {
        int depth = matches.depthOf(state.index());
        return depth == 0
                ? 0
                : (double) info.promptTokens() * depth / info.prefixBlocks().size();
    }

    private ServerState selectFrom(
            Query query, List<ServerState> servers, ServerCapacity capacity, long hash, Timestamp now) {
        boolean probe = ColdProbe.allows(query.facts(), hash);
        best = null;
        bestCost = Double.POSITIVE_INFINITY;
        if (servers.size() > COMPARE_ALL_MAX) {
            compareSample(query, servers, capacity, hash, probe, now);
        }
        if (best == null) {
            for (ServerState state : servers) {
                compare(query, state, capacity, probe, now);
            }
        }
        if (best == null) {
            best = anyWithCapacity(query, servers, capacity);
        }
        return best;
    }

    private static ServerState anyWithCapacity(Query query, List<ServerState> servers, ServerCapacity capacity) {
        // A server that failed the request is used again only if the request has been to all servers.
        boolean triedAll = query.avoid().size() >= servers.size();
        for (ServerState state : servers) {
            boolean tried = query.avoid().contains(state.server().id());
            if (capacity.spareConcurrency(state) > 0 && (triedAll || !tried)) {
                return state;
            }
        }
        return null;
    }

    private void compareSample(
            Query query, List<ServerState> servers, ServerCapacity capacity, long hash, boolean probe, Timestamp now) {
        for (int i = 0; i < matches.size(); i++) {
            ServerState state = fleet.byIndex(matches.serverIndex(i));
            boolean candidate = state.server().service().equals(query.service().id())
                    && servers.get(0).server().version().equals(state.server().version());
            if (candidate && fleet.uses(state)) {
                compare(query, state, capacity, probe, now);
            }
        }
        long next = hash;
        for (int i = 0; i < HASH_PICKS; i++) {
            next = Hash.mix(next + i + 1);
            compare(query, servers.get(Hash.modulo(next, servers.size())), capacity, probe, now);
        }
    }

    private void compare(Query query, ServerState state, ServerCapacity capacity, boolean probe, Timestamp now) {
        int spare = capacity.spareConcurrency(state);
        if (spare <= 0) {
            return;
        }
        if (!query.avoid().isEmpty() && query.avoid().contains(state.server().id())) {
            return;
        }
        boolean warm = capacity.warm(state);
        if (!warm && !probe) {
            return;
        }
        double cost = warm ? cost(query, state, spare, now) : 0;
        if (cost < bestCost) {
            bestCost = cost;
            best = state;
        }
    }

    private double cost(Query query, ServerState state, int spare, Timestamp now) {
        RequestInfo info = query.facts();
        double load = state.load(spare, processCount, query.service().maxConcurrency(), now);
        double uncached = info.promptTokens() - cachedTokens(info, state) * state.cacheTrust();
        boolean sameDataCentre = ownDataCentre.isEmpty()
                || ownDataCentre.get().equals(state.server().dataCentre());
        return EngineCost.of(state, info, uncached, load, sameDataCentre, query.targets());
    }
}
