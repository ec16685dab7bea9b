package org.geraniumstand.decisions.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.membership.Rendezvous;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;

/**
 * Names keepers by rendezvous hashing over the live processes, see {@link Rendezvous}.
 *
 * <p>Keepers are asked for with each wish and each grant, so that the answer for a server is kept; not thread-safe.
 */
@Decision(
        name = "keeper",
        summary = "The live process with the highest hash together with the server's name keeps the server.")
public final class RendezvousKeepers implements Keepers {
    private final List<ProcessId> processes;
    private final Map<ServerId, Optional<ProcessId>> known = new HashMap<>();

    /**
     * Creates the keepers of a set of processes.
     *
     * @param processes all live processes
     */
    public RendezvousKeepers(List<ProcessId> processes) {
        this.processes = List.copyOf(processes);
    }

    @Override
    public Optional<ProcessId> keeperOf(ServerId server) {
        return known.computeIfAbsent(server, key -> Rendezvous.first(key.value(), processes, ProcessId::value));
    }
}
