package org.geraniumstand.entry.settings;

import java.util.List;
import java.util.Map;

/**
 * The checked entries of a settings file.
 *
 * @param values the values by path
 */
record SettingValues(Map<String, List<String>> values) {
    /** Copies the map. */
    SettingValues {
        values = Map.copyOf(values);
    }

    String text(String path) {
        return values.get(path).get(0);
    }

    int number(String path) {
        return Integer.parseInt(text(path));
    }

    double decimal(String path) {
        return Double.parseDouble(text(path));
    }

    List<String> list(String path) {
        return values.get(path);
    }
}
