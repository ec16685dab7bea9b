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
 * What capacity is planned from.
 *
 * @param preset the preset in force
 * @param pools classes of hosts and their prices
 * @param out data centres that take no new work
 * @param needs what each service needs
 * @param hosts hosts as the cloud knows them
 * @param work requests in flight at each host, over all processes
 * @param reclaimed hosts that the cloud takes back
 */
public record PlanInput(
        Preset preset,
        List<HostPool> pools,
        Set<DataCentreId> out,
        List<ServiceNeed> needs,
        List<CloudHost> hosts,
        Map<HostId, Integer> work,
        Set<HostId> reclaimed) {
    /** Copies the collections. */
    public PlanInput {
        pools = List.copyOf(pools);
        out = Set.copyOf(out);
        needs = List.copyOf(needs);
        hosts = List.copyOf(hosts);
        work = Map.copyOf(work);
        reclaimed = Set.copyOf(reclaimed);
    }
}
