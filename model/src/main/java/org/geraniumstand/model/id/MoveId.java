package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a declared version move.
 *
 * @param value the name, never empty
 */
public record MoveId(@JsonValue String value) implements Comparable<MoveId> {
    /** Checks that the name is not empty. */
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
