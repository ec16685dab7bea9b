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

/** Sends orders, each only if the lease is held right before it is sent. */
final class OrderSender {
    private final FencedLease lease;
    private final CloudApi cloud;
    private final EngineControl engines;

    /**
     * Creates a sender.
     *
     * @param lease checked before each order
     * @param cloud takes orders about hosts
     * @param engines take orders about roles
     */
    OrderSender(FencedLease lease, CloudApi cloud, EngineControl engines) {
        this.lease = lease;
        this.cloud = cloud;
        this.engines = engines;
    }

    /**
     * Orders a host to be started.
     *
     * @param start the order
     * @param callback told what the cloud said
     * @return whether the order was sent
     */
    boolean start(CapacityOrder.Start start, BiConsumer<CapacityOrder.Start, Result<HostOrder, CloudError>> callback) {
        OptionalLong fence = lease.fenceNow();
        fence.ifPresent(f -> cloud.start(start.host(), f, result -> callback.accept(start, result)));
        return fence.isPresent();
    }

    /**
     * Orders a host to be stopped.
     *
     * @param host the host
     * @return whether the order was sent
     */
    boolean stop(HostId host) {
        OptionalLong fence = lease.fenceNow();
        fence.ifPresent(f -> cloud.stop(host, f, _result -> {}));
        return fence.isPresent();
    }

    /**
     * Orders an engine to run something.
     *
     * @param engine where it listens
     * @param order what it shall run
     * @return whether the order was sent
     */
    boolean engine(URI engine, EngineOrder order) {
        OptionalLong fence = lease.fenceNow();
        fence.ifPresent(f -> engines.order(engine, order, f, _result -> {}));
        return fence.isPresent();
    }
}
