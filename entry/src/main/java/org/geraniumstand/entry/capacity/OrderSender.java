package org.geraniumstand.entry.capacity;

import java.net.URI;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.geraniumstand.decisions.capacity.CapacityOrder;
import org.geraniumstand.model.capacity.EngineOrder;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.cloud.CloudApi;
import org.geraniumstand.outside.cloud.CloudError;
import org.geraniumstand.outside.engine.EngineControl;

/** Sends orders; checks immediately before each order that the lease is held. */
final class OrderSender {
    private final FencedLease lease;
    private final CloudApi cloud;
    private final EngineControl engines;

    /**
     * Creates a sender.
     *
     * @param lease lease that is checked before each order
     * @param cloud starts and stops hosts
     * @param engines sets the roles of engines
     */
    OrderSender(FencedLease lease, CloudApi cloud, EngineControl engines) {
        this.lease = lease;
        this.cloud = cloud;
        this.engines = engines;
    }

    /**
     * Orders the cloud to start a host.
     *
     * @param start order to send
     * @param callback receives the order and the cloud's response
     * @return whether the order was sent
     */
    boolean start(CapacityOrder.Start start, BiConsumer<CapacityOrder.Start, Result<HostOrder, CloudError>> callback) {
        OptionalLong fencingToken = lease.currentFencingToken();
        fencingToken.ifPresent(f -> cloud.start(start.host(), f, result -> callback.accept(start, result)));
        return fencingToken.isPresent();
    }

    /**
     * Orders the cloud to stop a host.
     *
     * @param host ID of the host
     * @return whether the order was sent
     */
    boolean stop(HostId host) {
        OptionalLong fencingToken = lease.currentFencingToken();
        fencingToken.ifPresent(f -> cloud.stop(host, f, _result -> {}));
        return fencingToken.isPresent();
    }

    /**
     * Sets the role of an engine.
     *
     * @param engine base URL of the engine
     * @param order service, version and role of the engine
     * @return whether the order was sent
     */
    boolean engine(URI engine, EngineOrder order) {
        OptionalLong fencingToken = lease.currentFencingToken();
        fencingToken.ifPresent(f -> engines.order(engine, order, f, _result -> {}));
        return fencingToken.isPresent();
    }
}
