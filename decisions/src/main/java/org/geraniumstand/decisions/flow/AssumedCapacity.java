package org.geraniumstand.decisions.flow;

import org.geraniumstand.decisions.routing.Room;
import org.geraniumstand.decisions.routing.ServerState;

/**
 * Reports spare concurrency for at least one request at every server, to determine the server for which this process
 * demands concurrency.
 */
record AssumedCapacity(Room actual) implements Room {
    @Override
    public int spare(ServerState state) {
        return Math.max(1, actual.spare(state));
    }

    @Override
    public boolean warm(ServerState state) {
        return actual.warm(state);
    }
}
