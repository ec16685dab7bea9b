package org.geraniumstand.decisions.capacity;

import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.config.HostPool;

/** Represents an order that the capacity planner issues to the cloud or to the engine of a host. */
public sealed interface CapacityOrder {
    /**
     * Orders the cloud to start a host.
     *
     * @param host description of the host to start
     * @param pool the pool that supplies the host
     */
    record Start(HostOrder host, HostPool pool) implements CapacityOrder {}

    /**
     * Orders the engine of a host to accept no new work and to finish the requests in flight.
     *
     * @param host the host to drain
     */
    record Drain(CloudHost host) implements CapacityOrder {}

    /**
     * Orders the engine of a draining host to accept new work again.
     *
     * @param host the host to return to service
     */
    record ReturnToService(CloudHost host) implements CapacityOrder {}

    /**
     * Orders the cloud to stop a drained host.
     *
     * @param host the host to stop
     */
    record Stop(CloudHost host) implements CapacityOrder {}
}
