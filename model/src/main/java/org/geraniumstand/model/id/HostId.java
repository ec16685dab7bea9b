package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a host.
 *
 * @param value the name, not empty
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Rejects a missing or empty name. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HostId {
        Names.requireName(value, "HostId");
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
