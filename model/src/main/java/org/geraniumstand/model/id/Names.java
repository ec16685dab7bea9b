package org.geraniumstand.model.id;

/** Validates the names of identifiers. */
final class Names {
    private Names() {}

    /**
     * Rejects a missing or empty name.
     *
     * @param value the name to check
     * @param type the identifier's type, used in the exception message
     * @throws IllegalArgumentException if the name is missing or empty
     */
    static void requireName(String value, String type) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(type + " must not be empty");
        }
    }
}
