package org.geraniumstand.decisions.routing;

import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;

/** Tells whether a backend server may take new work at all. */
@Decision(
        name = "takes-new-work",
        summary = "A backend server that leaves, whose host is reclaimed or whose data centre is out gets no new work.")
public final class TakesNewWork {
    private TakesNewWork() {}

    /**
     * Returns whether a backend server may take new work.
     *
     * @param server the backend server
     * @param reclaimed hosts that the cloud takes back
     * @param out data centres that operators took out
     */
    public static boolean test(BackendServer server, Set<HostId> reclaimed, Set<DataCentreId> out) {
        if (server.leaving()) {
            return false;
        }
        if (reclaimed.contains(server.host())) {
            return false;
        }
        return !out.contains(server.dataCentre());
    }
}
