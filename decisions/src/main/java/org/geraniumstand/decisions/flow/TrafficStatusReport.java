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

/** Converts the shared state of the decisions to the status that operators see. */
public final class TrafficStatusReport {

    private TrafficStatusReport() {}

    /**
     * Returns the current status for operators.
     *
     * @param context state shared by the decisions of the process
     */
    public static TrafficStatus of(DecisionContext context) {
        Map<TeamId, Integer> requestsByTeam = new HashMap<>();
        context.requests()
                .values()
                .forEach(request -> requestsByTeam.merge(request.info().team(), 1, Integer::sum));
        int streams = (int) context.requests().values().stream()
                .filter(request -> request.info().streaming())
                .count();
        List<ServerStatus> servers =
                context.fleet().all().stream().map(state -> of(context, state)).toList();
        List<MoveStatus> moves = context.configuration().stream()
                .flatMap(c -> c.moves().stream())
                .map(context.moves()::status)
                .toList();
        return new TrafficStatus(context.requests().size(), streams, requestsByTeam, servers, moves);
    }

    private static ServerStatus of(DecisionContext context, ServerState state) {
        String warmth = context.limits().warm(state) ? "warm" : "cold";
        int budget = context.limits().spareConcurrency(state) + state.inFlight();
        return new ServerStatus(state.server(), eligibility(context, state), warmth, budget, state.inFlight());
    }

    private static String eligibility(DecisionContext context, ServerState state) {
        BackendServer server = state.server();
        if (server.leaving()) {
            return "leaving";
        }
        if (context.fleet().reclaimDueMillis(server.host()).isPresent()) {
            return "reclaimed";
        }
        boolean dataCentreOut = context.configuration()
                .map(Configuration::dataCentresOut)
                .map(dataCentres -> dataCentres.contains(server.dataCentre()))
                .orElse(false);
        return dataCentreOut ? "data-centre-out" : "taking";
    }
}
