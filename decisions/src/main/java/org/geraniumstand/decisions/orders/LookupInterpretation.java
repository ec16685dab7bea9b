package org.geraniumstand.decisions.orders;

import org.geraniumstand.decisions.Decision;

/** Determines the state of an order of unknown outcome from a lookup at the backend server. */
@Decision(
        name = "read-lookup",
        summary = "An order that the lookup does not find counts as not run only if it is old and the server confirms"
                + " that it did not run.")
public final class LookupInterpretation {
    /**
     * Age of a claim, in milliseconds, above which its request can no longer be in flight; longer than any caller may
     * wait.
     */
    public static final long MIN_AGE_MILLIS = 2L * 60 * 60 * 1_000;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private LookupInterpretation() {}

    /**
     * Returns the state that the lookup proves.
     *
     * @param status HTTP status code of the lookup's response
     * @param confirmedNotRun whether the backend server confirms that the order did not run
     * @param ageMillis age of the claim in milliseconds
     */
    public static ClaimState stateOf(int status, boolean confirmedNotRun, long ageMillis) {
        if (status == OK) {
            return ClaimState.ANSWERED;
        }
        if (status == NOT_FOUND && confirmedNotRun && ageMillis > MIN_AGE_MILLIS) {
            return ClaimState.NOT_RUN;
        }
        return ClaimState.UNKNOWN;
    }
}
