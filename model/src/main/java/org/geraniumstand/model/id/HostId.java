package org.geraniumstand.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a host.
 *
 * @param value the name, never empty
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Checks that the name is not empty. */
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
