package org.geraniumstand.entry.metrics;

import java.util.ArrayList;
import java.util.List;

/** Builds metric names with labels in the syntax of the exposition format. */
final class MetricName {
    private MetricName() {}

    /**
     * Returns a name with labels.
     *
     * @param base metric name, in snake case, with the unit as suffix
     * @param labels alternating label names and values
     */
    static String of(String base, String... labels) {
        List<String> pairs = new ArrayList<>();
        for (int i = 0; i + 1 < labels.length; i += 2) {
            pairs.add(labels[i] + "=\"" + escape(labels[i + 1]) + '"');
        }
        return pairs.isEmpty() ? base : base + "{" + String.join(",", pairs) + "}";
    }

    /** Returns the name without its labels. */
    static String base(String name) {
        int brace = name.indexOf('{');
        return brace < 0 ? name : name.substring(0, brace);
    }

    /** Returns the labels without braces, or an empty string. */
    static String labels(String name) {
        int brace = name.indexOf('{');
        return brace < 0 ? "" : name.substring(brace + 1, name.length() - 1);
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
