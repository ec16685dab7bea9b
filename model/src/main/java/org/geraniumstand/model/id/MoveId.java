package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a declared version move.
 *
 * @param value the name, not empty
 */
public record MoveId(@JsonValue String value) implements Comparable<MoveId> {
    /** Rejects a missing or empty name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public MoveId {
        Names.requireName(value, "MoveId");
    }

    @Override
    public int compareTo(MoveId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
