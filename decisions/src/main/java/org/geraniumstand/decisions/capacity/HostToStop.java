package org.geraniumstand.decisions.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.id.HostId;

/** Decides which hosts that are too many are drained first. */
@Decision(
        name = "host-to-stop",
        summary = "A host that is too many is drained first and stopped only once it has no work.")
public final class HostToStop {
    private HostToStop() {}

    /**
     * Returns the hosts to give up, those with the least work first.
     *
     * @param hosts hosts of a pool and service
     * @param wanted how many are wanted
     * @param work requests in flight at each host
     */
    public static List<CloudHost> of(List<CloudHost> hosts, int wanted, Map<HostId, Integer> work) {
        int tooMany = hosts.size() - wanted;
        if (tooMany <= 0) {
            return List.of();
        }
        return hosts.stream()
                .sorted(Comparator.comparing((CloudHost host) -> host.state() == CloudHost.State.RUNNING)
                        .thenComparing(host -> work.getOrDefault(host.host(), 0))
                        .thenComparing(CloudHost::host))
                .limit(tooMany)
                .toList();
    }
}
