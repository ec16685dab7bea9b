package org.geraniumstand.model.status;

import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;

/**
 * What an entry process tells operators about itself and what it knows of the others.
 *
 * @param process the process that answers
 * @param dataCentre where it runs
 * @param ready whether the balancer may send requests to it
 * @param stopping whether it stops
 * @param generation generation of the configuration in force there, or -1 without one
 * @param presetInForce the preset in force, or empty
 * @param storeState reachable, unreachable or unknown
 * @param streams streams in flight
 * @param members live members, the answering one included
 * @param servers backend servers on the platform's list
 * @param moves declared version moves
 * @param dataCentres data centres with a pool of hosts or a backend server
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
    /** Copies the lists. */
    public StatusReport {
        members = List.copyOf(members);
        servers = List.copyOf(servers);
        moves = List.copyOf(moves);
        dataCentres = List.copyOf(dataCentres);
        teams = List.copyOf(teams);
    }
}
