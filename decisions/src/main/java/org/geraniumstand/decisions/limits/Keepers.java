package org.geraniumstand.decisions.limits;

import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/** Names the process that keeps a backend server. */
@FunctionalInterface
public interface Keepers {
    /**
     * Returns the keeper of a backend server, or nothing if no process is known.
     *
     * @param server the backend server
     */
    Optional<ProcessId> keeperOf(ServerId server);
}
