package org.geraniumstand.model.id;

/** Checks of names that identifiers share. */
final class Names {
    private Names() {}

    /**
     * Refuses a missing or empty name.
     *
     * @param value the name to check
     * @param type the identifier's type, for the message
     * @throws IllegalArgumentException if the name is missing or empty
     */
    static void requireName(String value, String type) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(type + " must not be empty");
        }
    }
}
