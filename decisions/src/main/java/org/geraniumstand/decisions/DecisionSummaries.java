package org.geraniumstand.decisions;

/** Returns the summaries that decision classes declare with {@link Decision}. */
public final class DecisionSummaries {
    private DecisionSummaries() {}

    /**
     * Returns the summary of a decision, or an empty string if the class has no {@link Decision} annotation.
     *
     * @param decision the class that implements the decision
     */
    public static String of(Class<?> decision) {
        Decision declared = decision.getAnnotation(Decision.class);
        return declared == null ? "" : declared.summary();
    }
}
