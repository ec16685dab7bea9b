package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a team of callers.
 *
 * @param value the name, not empty
 */
public record TeamId(@JsonValue String value) implements Comparable<TeamId> {
    /** Rejects a missing or empty name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public TeamId {
        Names.requireName(value, "TeamId");
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof TeamId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
