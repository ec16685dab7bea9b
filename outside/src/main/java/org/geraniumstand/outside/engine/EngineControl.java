package org.geraniumstand.outside.engine;

import java.net.URI;
import java.util.function.Consumer;
import org.geraniumstand.model.capacity.EngineOrder;
import org.geraniumstand.model.capacity.EngineStatus;
import org.geraniumstand.model.result.Result;

/**
 * Reads the status of model engines and sends orders to them.
 *
 * <p>An order states the desired state, so repeated orders are idempotent. Some engines refuse an order with an
 * outdated fencing token, others ignore the token; callers must not rely on a refusal.
 */
public interface EngineControl {
    /**
     * Reads the status of an engine.
     *
     * @param engine scheme, IP address and port of the engine
     * @param callback called with the status or the error
     */
    void status(URI engine, Consumer<Result<EngineStatus, EngineError>> callback);

    /**
     * Orders an engine to run a service version in a role.
     *
     * @param engine scheme, IP address and port of the engine
     * @param order the desired state
     * @param fencingToken fencing token of the lease holder
     * @param callback called with the status after the order was accepted, or with the error
     */
    void order(URI engine, EngineOrder order, long fencingToken, Consumer<Result<EngineStatus, EngineError>> callback);
}
