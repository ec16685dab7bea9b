package org.geraniumstand.entry.settings;

import java.util.List;
import java.util.Map;

/**
 * Holds the validated values of a settings file.
 *
 * @param values values by path of the entry
 */
record SettingValues(Map<String, List<String>> values) {
    /** Makes a defensive copy of the map. */
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
