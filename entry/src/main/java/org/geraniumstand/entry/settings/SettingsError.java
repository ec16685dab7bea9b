package org.geraniumstand.entry.settings;

import java.util.List;

/**
 * Why settings cannot be used.
 *
 * @param problems all that is wrong, each with file, line, entry and allowed values
 */
public record SettingsError(List<String> problems) {
    /** Copies the list. */
    public SettingsError {
        problems = List.copyOf(problems);
    }

    /** Returns all problems, one a line. */
    public String text() {
        return String.join("\n", problems);
    }
}
