package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one incarnation of an entry process.
 *
 * @param value the name, never empty
 */
public record ProcessId(@JsonValue String value) implements Comparable<ProcessId> {
    /** Checks that the name is not empty. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ProcessId {
        Names.requireName(value, "ProcessId");
    }

    @Override
    public int compareTo(ProcessId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // The methods that the compiler generates are linked at run time, which costs each start some milliseconds a type.
    @Override
    public boolean equals(Object other) {
        return other instanceof ProcessId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
