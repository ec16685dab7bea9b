package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a data centre.
 *
 * @param value the name, never empty
 */
public record DataCentreId(@JsonValue String value) implements Comparable<DataCentreId> {
    /** Checks that the name is not empty. */
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

    // The methods that the compiler generates are linked at run time, which costs each start some milliseconds a type.
    @Override
    public boolean equals(Object other) {
        return other instanceof DataCentreId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
