package org.geraniumstand.decisions.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.membership.RendezvousHashing;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/**
 * Assigns backend servers to owners by rendezvous hashing over the live processes, see {@link RendezvousHashing}.
 *
 * <p>The owner is looked up for each demand and each grant, so it is cached per server. Not thread-safe.
 */
@Decision(
        name = "keeper",
        summary = "The live process with the highest rendezvous hash for a server's name owns the server.")
public final class RendezvousServerOwners implements ServerOwners {
    private final List<ProcessId> processes;
    private final Map<ServerId, Optional<ProcessId>> cachedOwners = new HashMap<>();

    /**
     * Creates the assignment for a set of processes.
     *
     * @param processes all live processes
     */
    public RendezvousServerOwners(List<ProcessId> processes) {
        this.processes = List.copyOf(processes);
    }

    @Override
    public Optional<ProcessId> ownerOf(ServerId server) {
        return cachedOwners.computeIfAbsent(
                server, key -> RendezvousHashing.first(key.value(), processes, ProcessId::value));
    }
}
