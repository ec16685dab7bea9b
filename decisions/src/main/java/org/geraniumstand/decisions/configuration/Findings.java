package org.geraniumstand.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.geraniumstand.model.config.ConfigurationFinding;

/** Collects the findings of one rule. */
final class Findings {
    private final List<ConfigurationFinding> found = new ArrayList<>();

    void errorIf(boolean wrong, String path, String message) {
        if (wrong) {
            found.add(ConfigurationFinding.error(path, message));
        }
    }

    void warningIf(boolean unusual, String path, String message) {
        if (unusual) {
            found.add(ConfigurationFinding.warning(path, message));
        }
    }

    /** Reports each entry whose value under a key was used by an earlier entry. */
    <T> void duplicates(List<T> entries, String list, String key, Function<T, Object> value) {
        List<Object> seen = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            Object current = value.apply(entries.get(i));
            int first = seen.indexOf(current);
            errorIf(
                    first >= 0,
                    entry(list, i, key),
                    "the value stands at " + entry(list, first, key) + " too; each entry needs its own");
            seen.add(current);
        }
    }

    List<ConfigurationFinding> list() {
        return List.copyOf(found);
    }

    static String entry(String list, int index, String key) {
        return list + "[" + index + "]." + key;
    }
}
