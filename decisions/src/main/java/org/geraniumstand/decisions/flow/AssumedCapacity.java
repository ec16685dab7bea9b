package org.geraniumstand.decisions.flow;

import org.geraniumstand.decisions.routing.ServerCapacity;
import org.geraniumstand.decisions.routing.ServerState;

/**
 * Reports spare concurrency for at least one request at every server, to determine the server for which this process
 * demands concurrency.
 */
record AssumedCapacity(ServerCapacity actual) implements ServerCapacity {
    @Override
    public int spareConcurrency(ServerState state) {
        return Math.max(1, actual.spareConcurrency(state));
    }

    @Override
    public boolean warm(ServerState state) {
        return actual.warm(state);
    }
}
