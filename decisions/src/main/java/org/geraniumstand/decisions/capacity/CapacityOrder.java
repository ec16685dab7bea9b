package org.geraniumstand.decisions.capacity;

import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.config.HostPool;

/** An order that capacity planning wants given. */
public sealed interface CapacityOrder {
    /**
     * A host that shall exist.
     *
     * @param host the host
     * @param pool the pool that it comes from
     */
    record Start(HostOrder host, HostPool pool) implements CapacityOrder {}

    /**
     * A host whose engine shall take no new work.
     *
     * @param host the host
     */
    record Drain(CloudHost host) implements CapacityOrder {}

    /**
     * A host whose engine shall take work again.
     *
     * @param host the host
     */
    record Serve(CloudHost host) implements CapacityOrder {}

    /**
     * A drained host that shall not exist.
     *
     * @param host the host
     */
    record Stop(CloudHost host) implements CapacityOrder {}
}
