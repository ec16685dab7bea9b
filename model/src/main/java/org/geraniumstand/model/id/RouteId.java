package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a route.
 *
 * @param value the name, not empty
 */
public record RouteId(@JsonValue String value) implements Comparable<RouteId> {
    /** Rejects a missing or empty name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RouteId {
        Names.requireName(value, "RouteId");
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof RouteId same && value.equals(same.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
