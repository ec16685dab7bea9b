package org.geraniumstand.decisions.routing;

import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;

/** Decides whether a backend server is eligible for new work. */
@Decision(
        name = "takes-new-work",
        summary = "A backend server receives no new work if it is draining, its host is being reclaimed, or its data"
                + " centre is out of service.")
public final class ServerEligibility {
    private ServerEligibility() {}

    /**
     * Returns whether a backend server is eligible for new work.
     *
     * @param server the backend server
     * @param reclaimed hosts that the cloud is reclaiming
     * @param dataCentresOut data centres that operators took out of service
     */
    public static boolean isEligible(BackendServer server, Set<HostId> reclaimed, Set<DataCentreId> dataCentresOut) {
        if (server.leaving()) {
            return false;
        }
        if (reclaimed.contains(server.host())) {
            return false;
        }
        return !dataCentresOut.contains(server.dataCentre());
    }
}
