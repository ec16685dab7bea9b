package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;

/** Reads the summaries that decisions declare. */
final class Summaries {
    private Summaries() {}

    /**
     * Returns the summary of a decision, or nothing if the class declares none.
     *
     * @param decision the decision's class
     */
    static String of(Class<?> decision) {
        Decision declared = decision.getAnnotation(Decision.class);
        return declared == null ? "" : declared.summary();
    }
}
