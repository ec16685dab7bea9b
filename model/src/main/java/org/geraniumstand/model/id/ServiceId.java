package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a service that backend servers offer.
 *
 * @param value the name, never empty
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {
    /** Checks that the name is not empty. */
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

    // The methods that the compiler generates are linked at run time, which costs each start some milliseconds a type.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
