package org.geraniumstand.decisions.flow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.TrafficStatus;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.status.ServerStatus;

/** Writes down the decisions' state for operators. */
public final class TrafficReport {

    private TrafficReport() {}

    /**
     * Returns what operators see of the state.
     *
     * @param parts the parts of the process
     */
    public static TrafficStatus of(Parts parts) {
        Map<TeamId, Integer> teams = new HashMap<>();
        parts.flights().values().forEach(flight -> teams.merge(flight.facts().team(), 1, Integer::sum));
        int streams = (int) parts.flights().values().stream()
                .filter(flight -> flight.facts().streaming())
                .count();
        List<ServerStatus> servers =
                parts.fleet().all().stream().map(state -> of(parts, state)).toList();
        List<MoveStatus> moves = parts.configuration().stream()
                .flatMap(c -> c.moves().stream())
                .map(parts.moves()::status)
                .toList();
        return new TrafficStatus(parts.flights().size(), streams, teams, servers, moves);
    }

    private static ServerStatus of(Parts parts, ServerState state) {
        String warmth = parts.limits().warm(state) ? "warm" : "cold";
        int budget = parts.limits().spare(state) + state.inFlight();
        return new ServerStatus(state.server(), work(parts, state), warmth, budget, state.inFlight());
    }

    private static String work(Parts parts, ServerState state) {
        BackendServer server = state.server();
        if (server.leaving()) {
            return "leaving";
        }
        if (parts.fleet().dueMillis(server.host()).isPresent()) {
            return "reclaimed";
        }
        boolean out = parts.configuration()
                .map(Configuration::dataCentresOut)
                .map(centres -> centres.contains(server.dataCentre()))
                .orElse(false);
        return out ? "data-centre-out" : "taking";
    }
}
