package org.geraniumstand.model.capacity;

import java.util.List;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * What a model engine says that it runs.
 *
 * @param service the service
 * @param version the version
 * @param role which part of the work it does
 * @param adapters adapters that it holds
 * @param state whether the version is loaded
 * @param fence highest fencing number that it has seen, or zero if it ignores them
 * @param running requests that it works on
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
    /** Copies the list. */
    public EngineStatus {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    /** Whether a version is loaded. */
    public enum State {
        /** Weights are being loaded from the weight store. */
        LOADING,
        /** It takes requests. */
        READY
    }
}
