package org.geraniumstand.decisions.capacity;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;

/**
 * Holds the input of one planning round.
 *
 * @param preset the preset in force
 * @param pools host pools that the cloud offers, with their prices
 * @param dataCentresOut data centres that operators took out of service
 * @param serviceLoads load of each service version
 * @param hosts hosts that the cloud lists
 * @param inFlightByHost requests in flight at each host, over all processes
 * @param reclaimed hosts for which the cloud has issued a reclaim notice
 */
public record CapacityPlanInput(
        Preset preset,
        List<HostPool> pools,
        Set<DataCentreId> dataCentresOut,
        List<ServiceLoad> serviceLoads,
        List<CloudHost> hosts,
        Map<HostId, Integer> inFlightByHost,
        Set<HostId> reclaimed) {
    /** Copies the collections. */
    public CapacityPlanInput {
        pools = List.copyOf(pools);
        dataCentresOut = Set.copyOf(dataCentresOut);
        serviceLoads = List.copyOf(serviceLoads);
        hosts = List.copyOf(hosts);
        inFlightByHost = Map.copyOf(inFlightByHost);
        reclaimed = Set.copyOf(reclaimed);
    }
}
