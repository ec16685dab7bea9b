package org.geraniumstand.decisions;

import java.util.List;
import java.util.Map;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.status.ServerStatus;

/**
 * Reports a snapshot of the traffic controller's state to operators.
 *
 * @param inFlight number of accepted requests that have not ended, those waiting for a server included
 * @param streams number of these requests whose answer is streamed
 * @param teamInFlight number of these requests, by team
 * @param servers status of the backend servers on the platform's list, and of unlisted ones with requests in flight
 * @param moves status of the version moves that the configuration declares
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
