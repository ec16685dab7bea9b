package org.geraniumstand.model.timeline;

/**
 * Holds a named value of an event.
 *
 * @param name name of the field, in lower camel case
 * @param value value of the field
 */
public record Field(String name, String value) {
    /**
     * Returns a field.
     *
     * @param name name of the field
     * @param value value of the field, converted with {@link String#valueOf(Object)}
     */
    public static Field of(String name, Object value) {
        return new Field(name, String.valueOf(value));
    }
}
