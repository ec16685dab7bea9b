package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of an entry process.
 *
 * @param value the name, not empty
 */
public record ProcessId(@JsonValue String value) implements Comparable<ProcessId> {
    /** Rejects a missing or empty name. */
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

    // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ProcessId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
