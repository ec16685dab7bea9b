package org.geraniumstand.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.geraniumstand.model.config.ConfigurationFinding;

/** Collects the findings of one configuration rule. */
final class Findings {
    private final List<ConfigurationFinding> findings = new ArrayList<>();

    void errorIf(boolean invalid, String path, String message) {
        if (invalid) {
            findings.add(ConfigurationFinding.error(path, message));
        }
    }

    void warningIf(boolean suspicious, String path, String message) {
        if (suspicious) {
            findings.add(ConfigurationFinding.warning(path, message));
        }
    }

    /** Adds an error for each entry whose value of a field equals that of an earlier entry. */
    <T> void errorIfDuplicate(List<T> entries, String listName, String field, Function<T, Object> value) {
        List<Object> seen = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            Object current = value.apply(entries.get(i));
            int first = seen.indexOf(current);
            errorIf(
                    first >= 0,
                    fieldPath(listName, i, field),
                    "duplicates the value of " + fieldPath(listName, first, field)
                            + "; each entry needs a unique value");
            seen.add(current);
        }
    }

    List<ConfigurationFinding> toList() {
        return List.copyOf(findings);
    }

    static String fieldPath(String listName, int index, String field) {
        return listName + "[" + index + "]." + field;
    }
}
