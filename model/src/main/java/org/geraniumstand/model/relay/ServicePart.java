package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServiceId;

/**
 * Identifies a part of the prompts that a service answers.
 *
 * @param service the service
 * @param part identifier of the part
 */
public record ServicePart(ServiceId service, long part) {
    private static final int HASH_FACTOR = 31;

    // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServicePart same && part == same.part && service.equals(same.service);
    }

    @Override
    public int hashCode() {
        return HASH_FACTOR * service.hashCode() + Long.hashCode(part);
    }

    @Override
    public String toString() {
        return service + "/" + Long.toHexString(part);
    }
}
