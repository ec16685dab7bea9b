package org.geraniumstand.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/** Selects the subset of backend servers that a process uses. */
@Decision(
        name = "subset-choice",
        summary = "Above 16 processes, each uses a stable subset of the backend servers of a service and data centre.")
public final class SubsetChoice {
    /** Backend servers of one service, version and data centre that a process uses above the size of the full mesh. */
    public static final int SERVERS_PER_GROUP = 4;

    private SubsetChoice() {}

    /**
     * Returns the backend servers to use; with more processes than a full mesh they are ordered by name.
     *
     * @param self this process
     * @param processes number of live processes
     * @param servers all backend servers
     */
    public static List<BackendServer> choose(ProcessId self, int processes, Collection<BackendServer> servers) {
        if (processes <= NeighbourChoice.FULL_MESH_MEMBERS) {
            return List.copyOf(servers);
        }
        Map<String, List<BackendServer>> groups =
                servers.stream().collect(Collectors.groupingBy(SubsetChoice::group, TreeMap::new, Collectors.toList()));
        List<BackendServer> chosen = new ArrayList<>();
        Function<BackendServer, String> name = server -> server.id().value();
        groups.forEach(
                (group, all) -> chosen.addAll(RendezvousHashing.top(self + "/" + group, all, name, SERVERS_PER_GROUP)));
        chosen.sort(Comparator.comparing(BackendServer::id, Comparator.comparing(ServerId::value)));
        return chosen;
    }

    // The version is part of the group, so that a new version with few servers is not left out of the subset.
    private static String group(BackendServer server) {
        return server.service() + "/" + server.version() + "/" + server.dataCentre();
    }
}
