package org.geraniumstand.decisions.relay;

import java.util.Set;
import org.geraniumstand.decisions.Decision;

/** Decides whether a listed address belongs to an entry process instead of a backend server. */
@Decision(
        name = "process-endpoints",
        summary =
                "An entry whose address and port are those of a live entry process names no backend server, because a call"
                        + " sent there comes back to the processes that relay it.")
public final class ProcessEndpoints {
    private Set<String> endpoints = Set.of();

    /** Creates an instance that knows no process. */
    public ProcessEndpoints() {}

    /**
     * Replaces the known endpoints.
     *
     * @param next addresses and ports, separated by a colon, at which live entry processes listen
     */
    public void onProcesses(Set<String> next) {
        endpoints = Set.copyOf(next);
    }

    /**
     * Returns whether an entry process listens at an endpoint.
     *
     * @param endpoint address and port, separated by a colon
     */
    public boolean isProcess(String endpoint) {
        return endpoints.contains(endpoint);
    }
}
