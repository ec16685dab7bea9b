package org.geraniumstand.model.timeline;

/**
 * A named value of an event.
 *
 * @param name the name, in lower camel case
 * @param value the value
 */
public record Field(String name, String value) {
    /**
     * Returns a field.
     *
     * @param name the name
     * @param value the value, written with {@code toString}
     */
    public static Field of(String name, Object value) {
        return new Field(name, String.valueOf(value));
    }
}
