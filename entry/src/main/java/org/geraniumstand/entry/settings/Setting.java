package org.geraniumstand.entry.settings;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * One entry of the settings file.
 *
 * @param path its path, such as {@code callers.port}
 * @param form what it may hold
 * @param absent value when it is not written, in the form of the file, or nothing if it must be written
 * @param description what it is for, with its unit
 */
record Setting(String path, Form form, Optional<String> absent, String description) {
    static Setting required(String path, Form form, String description) {
        return new Setting(path, form, Optional.empty(), description);
    }

    static Setting optional(String path, Form form, String absent, String description) {
        return new Setting(path, form, Optional.of(absent), description);
    }

    /**
     * What an entry may hold.
     *
     * @param allowed the allowed values, for people
     * @param list whether it is a list of such values
     * @param accepts tells whether a value is allowed
     */
    record Form(String allowed, boolean list, Predicate<String> accepts) {}
}
