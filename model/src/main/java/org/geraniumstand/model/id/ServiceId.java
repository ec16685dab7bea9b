package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a service that backend servers provide.
 *
 * @param value the name, not empty
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {
    /** Rejects a missing or empty name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceId {
        Names.requireName(value, "ServiceId");
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
