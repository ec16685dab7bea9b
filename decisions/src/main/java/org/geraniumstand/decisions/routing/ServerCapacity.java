package org.geraniumstand.decisions.routing;

/** Reports the concurrency that is available to this process at each backend server. */
public interface ServerCapacity {
    /**
     * Returns how many more requests this process may send to a server now.
     *
     * @param state the server
     */
    int spareConcurrency(ServerState state);

    /**
     * Returns whether a server is known to be warm.
     *
     * @param state the server
     */
    boolean warm(ServerState state);
}
