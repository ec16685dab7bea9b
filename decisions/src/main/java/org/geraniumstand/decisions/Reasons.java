package org.geraniumstand.decisions;

/** Reads the summaries that decisions declare. */
public final class Reasons {
    private Reasons() {}

    /**
     * Returns the summary of a decision, or an empty text if it declares none.
     *
     * @param decision the decision's class
     */
    public static String of(Class<?> decision) {
        Decision declared = decision.getAnnotation(Decision.class);
        return declared == null ? "" : declared.summary();
    }
}
