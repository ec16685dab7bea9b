package org.geraniumstand.decisions.limits;

import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/** Maps each backend server to its owner: the process that polls its load and allocates its concurrency. */
@FunctionalInterface
public interface ServerOwners {
    /**
     * Returns the owner of a backend server, or empty if no process is known.
     *
     * @param server the backend server
     */
    Optional<ProcessId> ownerOf(ServerId server);
}
