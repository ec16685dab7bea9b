package org.geraniumstand.model.relay;

import java.util.OptionalDouble;

/**
 * Reports the load that a backend server states in a response.
 *
 * @param running requests that were running
 * @param waiting requests in its queue
 * @param slots maximum number of concurrently running requests
 * @param slowness how long work takes on its host at this moment, as a multiple of the usual time; empty if not stated
 */
public record ServerLoad(int running, int waiting, int slots, OptionalDouble slowness) {
    /**
     * Creates a load without a statement of slowness.
     *
     * @param running requests that were running
     * @param waiting requests in its queue
     * @param slots maximum number of concurrently running requests
     */
    public ServerLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalDouble.empty());
    }
}
