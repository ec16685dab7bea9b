package org.geraniumstand.model.relay;

import java.util.Optional;
import org.geraniumstand.model.id.ServerId;

/**
 * Counts the calls that one or more processes have in flight at a backend server, with the latest news of its host.
 *
 * @param server the server
 * @param calls number of calls in flight
 * @param pendingTokens prompt tokens of those calls that the server has not processed yet, as far as the processes know
 * @param slowness how long work takes on the server's host; empty if none of the processes was told recently
 */
public record ServerInFlight(ServerId server, int calls, long pendingTokens, Optional<SlownessNews> slowness) {
    /**
     * Creates a count without news of the host.
     *
     * @param server the server
     * @param calls number of calls in flight
     * @param pendingTokens prompt tokens of those calls that the server has not processed yet
     */
    public ServerInFlight(ServerId server, int calls, long pendingTokens) {
        this(server, calls, pendingTokens, Optional.empty());
    }
}
