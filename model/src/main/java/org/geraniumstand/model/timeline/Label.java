package org.geraniumstand.model.timeline;

import java.util.Locale;

/** The form in which logs, metrics and reports show the constants of enums. */
public final class Label {
    private Label() {}

    /**
     * Returns a constant's name in kebab case.
     *
     * @param constant the constant
     */
    public static String of(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
