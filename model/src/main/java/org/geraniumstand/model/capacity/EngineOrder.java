package org.geraniumstand.model.capacity;

import java.util.List;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Specifies the service, version and role that a model engine is ordered to run.
 *
 * @param service the service to run
 * @param version the version to load
 * @param role the inference phases that the engine handles
 * @param adapters names of the adapters to load
 */
public record EngineOrder(ServiceId service, VersionId version, Role role, List<String> adapters) {
    /** Makes a defensive copy of the list; a missing list becomes an empty one. */
    public EngineOrder {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    /** Inference phases that an engine handles. */
    public enum Role {
        /** The engine handles both prefill and decode. */
        SERVE,
        /** The engine handles prefill (prompt processing) only. */
        PREFILL,
        /** The engine handles decode (answer generation) only. */
        DECODE,
        /** The engine finishes its current requests and accepts no new ones. */
        DRAIN
    }
}
