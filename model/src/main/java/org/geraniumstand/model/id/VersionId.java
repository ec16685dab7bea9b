package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a version of a service.
 *
 * @param value the name, never empty
 */
public record VersionId(@JsonValue String value) implements Comparable<VersionId> {
    /** Checks that the name is not empty. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public VersionId {
        Names.requireName(value, "VersionId");
    }

    @Override
    public int compareTo(VersionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // The methods that the compiler generates are linked at run time, which costs each start some milliseconds a type.
    @Override
    public boolean equals(Object other) {
        return other instanceof VersionId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
