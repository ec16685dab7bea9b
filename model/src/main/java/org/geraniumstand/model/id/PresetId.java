package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a preset.
 *
 * @param value the name, never empty
 */
public record PresetId(@JsonValue String value) implements Comparable<PresetId> {
    /** Checks that the name is not empty. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public PresetId {
        Names.requireName(value, "PresetId");
    }

    @Override
    public int compareTo(PresetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
