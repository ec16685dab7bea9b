package org.geraniumstand.entry.settings;

import java.util.List;

/**
 * Lists the errors of invalid settings.
 *
 * @param problems errors, each with file, line, entry and allowed values as far as known
 */
public record SettingsError(List<String> problems) {
    /** Makes a defensive copy of the list. */
    public SettingsError {
        problems = List.copyOf(problems);
    }

    /** Returns all errors, one per line. */
    public String text() {
        return String.join("\n", problems);
    }
}
