package org.geraniumstand.outside.engine;

import java.net.URI;
import java.util.function.Consumer;
import org.geraniumstand.model.capacity.EngineOrder;
import org.geraniumstand.model.capacity.EngineStatus;
import org.geraniumstand.model.result.Result;

/**
 * Orders to model engines, and what engines say about themselves.
 *
 * <p>An order states the end that is wanted, so that repeating it is harmless. Some engines refuse an order with an
 * old fencing number, others ignore the number; callers must not rely on a refusal.
 */
public interface EngineControl {
    /**
     * Reads what an engine runs.
     *
     * @param engine where the engine listens
     * @param callback told its status
     */
    void status(URI engine, Consumer<Result<EngineStatus, EngineError>> callback);

    /**
     * Orders what an engine shall run.
     *
     * @param engine where the engine listens
     * @param order the end that is wanted
     * @param fence the lease holder's fencing number
     * @param callback told the status after the order was taken, or why it was not
     */
    void order(URI engine, EngineOrder order, long fence, Consumer<Result<EngineStatus, EngineError>> callback);
}
