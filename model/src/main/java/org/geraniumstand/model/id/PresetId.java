package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a preset.
 *
 * @param value the name, not empty
 */
public record PresetId(@JsonValue String value) implements Comparable<PresetId> {
    /** Rejects a missing or empty name. */
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
