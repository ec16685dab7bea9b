package org.geraniumstand.model.fleet;

import java.util.List;
import org.geraniumstand.model.id.ServerId;

/**
 * What changed in the platform's list since it was read before.
 *
 * @param servers backend servers that are new or leave now
 * @param removed backend servers that are not listed any more
 * @param notices reclaim notices that are new
 */
public record FleetChange(List<BackendServer> servers, List<ServerId> removed, List<ReclaimNotice> notices) {
    /** Copies the lists. */
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
