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
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;

/**
 * Chooses the backend server of a request.
 *
 * <p>A service with few servers is looked at whole. Of one with many, the servers that hold the prompt's prefix are
 * looked at and a few that the request's hash picks; the whole is searched only if none of these has room.
 */
@Decision(
        name = "server-choice",
        summary = "Of the servers with room, the one with the least engine cost is chosen, those that failed the"
                + " request before last.")
public final class ServerChoice {
    private static final int LOOK_AT_ALL = 24;
    private static final int PICKS = 8;

    private final FleetView fleet;
    private final PrefixIndex prefixes;
    private final PrefixIndex.Found found = new PrefixIndex.Found();
    private Optional<DataCentreId> home = Optional.empty();
    private int users = 1;
    private ServerState best;
    private double bestCost;

    /**
     * What a choice is made for.
     *
     * @param facts the request
     * @param service its service
     * @param versions versions that it may go to, the one to try first in front
     * @param avoid servers that it was at before
     * @param targets the latency targets
     */
    public record Query(
            RequestFacts facts, Service service, List<VersionId> versions, Set<ServerId> avoid, Targets targets) {}

    /**
     * Creates a choice.
     *
     * @param fleet the backend servers
     * @param prefixes what is known of their caches
     */
    public ServerChoice(FleetView fleet, PrefixIndex prefixes) {
        this.fleet = fleet;
        this.prefixes = prefixes;
    }

    /**
     * Takes in who shares the servers.
     *
     * @param dataCentre where this process is, if known
     * @param processes processes that share a server
     */
    public void onMembers(Optional<DataCentreId> dataCentre, int processes) {
        home = dataCentre;
        users = Math.max(1, processes);
    }

    /**
     * Chooses a server with room, or nothing if none has room.
     *
     * @param query what the choice is for
     * @param room what limits allow
     * @param now the time
     */
    public Optional<ServerState> choose(Query query, Room room, Moment now) {
        prefixes.find(query.facts().prefixBlocks(), now.nanos() / Moment.NANOS_PER_MILLI, found);
        long hash = Hash.of(query.facts().id().value());
        for (VersionId version : query.versions()) {
            ServerState chosen = ofVersion(query, fleet.usable(query.service().id(), version), room, hash, now);
            if (chosen != null) {
                return Optional.of(chosen);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns how many times as dear as the server that would be best without limits a server is.
     *
     * @param best the server that would be best
     * @param other the other
     * @param query what the choice is for
     * @param room what limits allow
     * @param now the time
     */
    public double ratio(ServerState best, ServerState other, Query query, Room room, Moment now) {
        prefixes.find(query.facts().prefixBlocks(), now.nanos() / Moment.NANOS_PER_MILLI, found);
        return cost(query, other, room.spare(other), now) / cost(query, best, room.spare(best), now);
    }

    /**
     * Returns the prompt tokens that a server would have to compute.
     *
     * @param facts the request
     * @param state the server
     * @param now the time
     */
    public double uncachedTokens(RequestFacts facts, ServerState state, Moment now) {
        prefixes.find(facts.prefixBlocks(), now.nanos() / Moment.NANOS_PER_MILLI, found);
        return facts.promptTokens() - cached(facts, state);
    }

    private double cached(RequestFacts facts, ServerState state) {
        int depth = found.depthOf(state.slot());
        return depth == 0
                ? 0
                : (double) facts.promptTokens() * depth / facts.prefixBlocks().size();
    }

    private ServerState ofVersion(Query query, List<ServerState> servers, Room room, long hash, Moment now) {
        boolean probe = ColdProbe.test(query.facts(), hash);
        best = null;
        bestCost = Double.POSITIVE_INFINITY;
        if (servers.size() > LOOK_AT_ALL) {
            lookAtSome(query, servers, room, hash, probe, now);
        }
        if (best == null) {
            for (ServerState state : servers) {
                consider(query, state, room, probe, now);
            }
        }
        if (best == null) {
            best = anyWithRoom(query, servers, room);
        }
        return best;
    }

    private static ServerState anyWithRoom(Query query, List<ServerState> servers, Room room) {
        // A server that failed the request is tried again only if there is no other at all.
        boolean triedAll = query.avoid().size() >= servers.size();
        for (ServerState state : servers) {
            boolean tried = query.avoid().contains(state.server().id());
            if (room.spare(state) > 0 && (triedAll || !tried)) {
                return state;
            }
        }
        return null;
    }

    private void lookAtSome(Query query, List<ServerState> servers, Room room, long hash, boolean probe, Moment now) {
        for (int i = 0; i < found.size(); i++) {
            ServerState state = fleet.bySlot(found.slot(i));
            boolean fits = state.server().service().equals(query.service().id())
                    && servers.get(0).server().version().equals(state.server().version());
            if (fits && fleet.uses(state)) {
                consider(query, state, room, probe, now);
            }
        }
        long next = hash;
        for (int i = 0; i < PICKS; i++) {
            next = Hash.mix(next + i + 1);
            consider(query, servers.get(Hash.below(next, servers.size())), room, probe, now);
        }
    }

    private void consider(Query query, ServerState state, Room room, boolean probe, Moment now) {
        int spare = room.spare(state);
        if (spare <= 0) {
            return;
        }
        if (!query.avoid().isEmpty() && query.avoid().contains(state.server().id())) {
            return;
        }
        boolean warm = room.warm(state);
        if (!warm && !probe) {
            return;
        }
        double cost = warm ? cost(query, state, spare, now) : 0;
        if (cost < bestCost) {
            bestCost = cost;
            best = state;
        }
    }

    private double cost(Query query, ServerState state, int spare, Moment now) {
        RequestFacts facts = query.facts();
        double load = state.load(spare, users, query.service().maxConcurrency(), now);
        double uncached = facts.promptTokens() - cached(facts, state) * state.cacheTrust();
        boolean near = home.isEmpty() || home.get().equals(state.server().dataCentre());
        return EngineCost.of(state, facts, uncached, load, near, query.targets());
    }
}
