package org.geraniumstand.entry.metrics;

import java.util.ArrayList;
import java.util.List;

/** Builds names of metrics with labels, in the form that the exposition format uses. */
final class MetricName {
    private MetricName() {}

    /**
     * Returns a name with labels.
     *
     * @param base the name, in snake case, with its unit at the end
     * @param labels label names and values by turns
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

    /** Returns the labels without braces, or an empty text. */
    static String labels(String name) {
        int brace = name.indexOf('{');
        return brace < 0 ? "" : name.substring(brace + 1, name.length() - 1);
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
