package org.geraniumstand.model.capacity;

import java.util.List;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * What a model engine shall run.
 *
 * @param service the service
 * @param version the version
 * @param role which part of the work it does
 * @param adapters adapters that it shall hold
 */
public record EngineOrder(ServiceId service, VersionId version, Role role, List<String> adapters) {
    /** Copies the list. */
    public EngineOrder {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    /** The part of the work that an engine does. */
    public enum Role {
        /** Prompts and answers. */
        SERVE,
        /** Prompts only. */
        PREFILL,
        /** Answers only. */
        DECODE,
        /** It finishes what it has and takes no new work. */
        DRAIN
    }
}
