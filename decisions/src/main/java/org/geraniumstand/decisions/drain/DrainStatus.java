package org.geraniumstand.decisions.drain;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServiceId;

/**
 * Tells operators what still runs in a data centre that was taken out.
 *
 * @param dataCentre the data centre
 * @param inFlight requests of this process there, by service; services without any are left out
 */
@Decision(
        name = "drain-status",
        summary = "A data centre that is out is drained once no process has a request in flight there.")
public record DrainStatus(DataCentreId dataCentre, Map<ServiceId, Integer> inFlight) {
    /** Copies the map. */
    public DrainStatus {
        inFlight = Map.copyOf(inFlight);
    }

    /**
     * Returns what this process still has in a data centre.
     *
     * @param dataCentre the data centre
     * @param servers all backend servers, those that have left the list but still have work included
     * @param inFlight returns the requests of this process at a server
     */
    public static DrainStatus of(
            DataCentreId dataCentre, Collection<BackendServer> servers, ToIntFunction<BackendServer> inFlight) {
        Map<ServiceId, Integer> running = new TreeMap<>();
        for (BackendServer server : servers) {
            int requests = server.dataCentre().equals(dataCentre) ? inFlight.applyAsInt(server) : 0;
            if (requests > 0) {
                running.merge(server.service(), requests, Integer::sum);
            }
        }
        return new DrainStatus(dataCentre, running);
    }

    /** Returns whether this process has nothing left there. */
    public boolean drained() {
        return inFlight.isEmpty();
    }
}
