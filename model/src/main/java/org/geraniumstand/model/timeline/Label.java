package org.geraniumstand.model.timeline;

import java.util.Locale;

/** Formats enum constants for logs, metrics and reports. */
public final class Label {
    private Label() {}

    /**
     * Returns a constant's name in kebab case.
     *
     * @param constant the enum constant
     */
    public static String of(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
