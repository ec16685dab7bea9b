package org.geraniumstand.entry.settings;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Describes an entry of the settings file.
 *
 * @param path path of the entry, such as {@code callers.port}
 * @param format format of the value
 * @param defaultValue default value as written in the file, or empty if the entry is required
 * @param description purpose of the entry, with the unit of its value
 */
record Setting(String path, Format format, Optional<String> defaultValue, String description) {
    static Setting required(String path, Format format, String description) {
        return new Setting(path, format, Optional.empty(), description);
    }

    static Setting optional(String path, Format format, String defaultValue, String description) {
        return new Setting(path, format, Optional.of(defaultValue), description);
    }

    /**
     * The format of a value.
     *
     * @param allowed human-readable description of the allowed values
     * @param list whether the entry is a list of such values
     * @param accepts returns whether a value is allowed
     */
    record Format(String allowed, boolean list, Predicate<String> accepts) {}
}
