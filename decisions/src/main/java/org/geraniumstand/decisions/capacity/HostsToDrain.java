package org.geraniumstand.decisions.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.id.HostId;

/** Selects the excess hosts of a pool that are drained first. */
@Decision(
        name = "host-to-stop",
        summary = "An excess host is drained first and is stopped only when it has no requests in flight.")
public final class HostsToDrain {
    private HostsToDrain() {}

    /**
     * Returns the hosts to drain, those that do not run yet first, then those with the fewest requests in flight.
     *
     * @param hosts hosts of one pool that run the same service version
     * @param desired number of hosts to keep
     * @param inFlightByHost requests in flight at each host; 0 for hosts without an entry
     */
    public static List<CloudHost> of(List<CloudHost> hosts, int desired, Map<HostId, Integer> inFlightByHost) {
        int excess = hosts.size() - desired;
        if (excess <= 0) {
            return List.of();
        }
        return hosts.stream()
                .sorted(Comparator.comparing((CloudHost host) -> host.state() == CloudHost.State.RUNNING)
                        .thenComparing(host -> inFlightByHost.getOrDefault(host.host(), 0))
                        .thenComparing(CloudHost::host))
                .limit(excess)
                .toList();
    }
}
