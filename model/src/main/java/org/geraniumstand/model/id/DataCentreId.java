package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a data centre.
 *
 * @param value the name, not empty
 */
public record DataCentreId(@JsonValue String value) implements Comparable<DataCentreId> {
    /** Rejects a missing or empty name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public DataCentreId {
        Names.requireName(value, "DataCentreId");
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof DataCentreId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
