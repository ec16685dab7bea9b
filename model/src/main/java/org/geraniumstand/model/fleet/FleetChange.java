package org.geraniumstand.model.fleet;

import java.util.List;
import org.geraniumstand.model.id.ServerId;

/**
 * Lists what changed in the platform's server list since the previous read.
 *
 * @param servers backend servers that were added or began to drain
 * @param removed backend servers that are no longer listed
 * @param notices new reclaim notices
 */
public record FleetChange(List<BackendServer> servers, List<ServerId> removed, List<ReclaimNotice> notices) {
    /** Makes defensive copies of the lists. */
    public FleetChange {
        servers = List.copyOf(servers);
        removed = List.copyOf(removed);
        notices = List.copyOf(notices);
    }

    /** Returns whether nothing changed. */
    public boolean isEmpty() {
        return servers.isEmpty() && removed.isEmpty() && notices.isEmpty();
    }
}
