package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a backend server.
 *
 * @param value the name, never empty
 */
public record ServerId(@JsonValue String value) implements Comparable<ServerId> {
    /** Checks that the name is not empty. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServerId {
        Names.requireName(value, "ServerId");
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // The methods that the compiler generates are linked at run time, which costs each start some milliseconds a type.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServerId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
