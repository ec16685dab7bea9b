package org.geraniumstand.model.status;

import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;

/**
 * Reports the status of an entry process, and of its peers as it sees them, to operators.
 *
 * @param process the reporting process
 * @param dataCentre the data centre that it runs in
 * @param ready whether the load balancer may send requests to it
 * @param stopping whether it is shutting down
 * @param generation generation of the configuration that it applied, or -1 if there is none
 * @param presetInForce identifier of the active preset, or empty
 * @param storeState state of the configuration store: reachable, unreachable or unknown
 * @param streams number of streams in flight
 * @param members live members, including the reporting one
 * @param servers backend servers listed by the platform
 * @param moves declared version moves
 * @param dataCentres data centres with a host pool or a backend server
 * @param teams teams and their load
 */
public record StatusReport(
        ProcessId process,
        DataCentreId dataCentre,
        boolean ready,
        boolean stopping,
        long generation,
        String presetInForce,
        String storeState,
        int streams,
        List<MemberStatus> members,
        List<ServerStatus> servers,
        List<MoveStatus> moves,
        List<DataCentreStatus> dataCentres,
        List<TeamStatus> teams) {
    /** Makes defensive copies of the lists. */
    public StatusReport {
        members = List.copyOf(members);
        servers = List.copyOf(servers);
        moves = List.copyOf(moves);
        dataCentres = List.copyOf(dataCentres);
        teams = List.copyOf(teams);
    }
}
