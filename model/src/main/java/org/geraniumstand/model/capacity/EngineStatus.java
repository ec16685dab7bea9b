package org.geraniumstand.model.capacity;

import java.util.List;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Reports the service, version and load of a model engine, as the engine states them.
 *
 * @param service the service that it runs
 * @param version the version that it runs
 * @param role the inference phases that it handles
 * @param adapters names of the adapters that it has loaded
 * @param state whether the version is loaded
 * @param fence highest fencing token that it has seen, or zero if it ignores fencing tokens
 * @param running requests that it is processing
 * @param waiting requests in its queue
 */
public record EngineStatus(
        ServiceId service,
        VersionId version,
        EngineOrder.Role role,
        List<String> adapters,
        State state,
        long fence,
        int running,
        int waiting) {
    /** Makes a defensive copy of the list; a missing list becomes an empty one. */
    public EngineStatus {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    /** Load state of the version. */
    public enum State {
        /** The engine is loading weights from the weight store. */
        LOADING,
        /** The engine accepts requests. */
        READY
    }
}
