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
 * Reports to operators how many requests are still in flight in a data centre that was taken out of service.
 *
 * @param dataCentre id of the data centre
 * @param inFlight requests of this process in flight there, by service; services without requests are omitted
 */
@Decision(
        name = "drain-status",
        summary = "A data centre that is out of service is drained when no process has a request in flight there.")
public record DrainStatus(DataCentreId dataCentre, Map<ServiceId, Integer> inFlight) {
    /** Copies the map. */
    public DrainStatus {
        inFlight = Map.copyOf(inFlight);
    }

    /**
     * Returns the drain status of a data centre with respect to the requests of this process.
     *
     * @param dataCentre id of the data centre
     * @param servers all backend servers, including unlisted ones that still have requests in flight
     * @param inFlight returns the number of requests of this process in flight at a server
     */
    public static DrainStatus of(
            DataCentreId dataCentre, Collection<BackendServer> servers, ToIntFunction<BackendServer> inFlight) {
        Map<ServiceId, Integer> inFlightByService = new TreeMap<>();
        for (BackendServer server : servers) {
            int requests = server.dataCentre().equals(dataCentre) ? inFlight.applyAsInt(server) : 0;
            if (requests > 0) {
                inFlightByService.merge(server.service(), requests, Integer::sum);
            }
        }
        return new DrainStatus(dataCentre, inFlightByService);
    }

    /** Returns whether this process has no request in flight in the data centre. */
    public boolean drained() {
        return inFlight.isEmpty();
    }
}
