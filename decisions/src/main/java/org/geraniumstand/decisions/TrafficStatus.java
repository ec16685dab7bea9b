package org.geraniumstand.decisions;

import java.util.List;
import java.util.Map;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.status.ServerStatus;

/**
 * What operators see of the decisions' state.
 *
 * @param inFlight requests in flight
 * @param streams streams among them
 * @param teamInFlight requests in flight by team
 * @param servers backend servers on the platform's list
 * @param moves declared version moves
 */
public record TrafficStatus(
        int inFlight,
        int streams,
        Map<TeamId, Integer> teamInFlight,
        List<ServerStatus> servers,
        List<MoveStatus> moves) {
    /** Copies the collections. */
    public TrafficStatus {
        teamInFlight = Map.copyOf(teamInFlight);
        servers = List.copyOf(servers);
        moves = List.copyOf(moves);
    }
}
