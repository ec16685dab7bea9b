package org.geraniumstand.decisions.orders;

import org.geraniumstand.decisions.Decision;

/** Decides what a look-up at the backend server says about an order of unknown outcome. */
@Decision(
        name = "read-lookup",
        summary = "An order that cannot be found counts as not run only if it is old and the server vouches for it.")
public final class ReadLookup {
    /** Milliseconds after which no request can still be on its way; longer than any caller may wait. */
    public static final long OLD_MILLIS = 2L * 60 * 60 * 1_000;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private ReadLookup() {}

    /**
     * Returns the state that the look-up proves.
     *
     * @param status status code of the answer
     * @param vouched whether the backend server says that the order did not run
     * @param ageMillis age of the claim in milliseconds
     */
    public static ClaimState apply(int status, boolean vouched, long ageMillis) {
        if (status == OK) {
            return ClaimState.ANSWERED;
        }
        if (status == NOT_FOUND && vouched && ageMillis > OLD_MILLIS) {
            return ClaimState.NOT_RUN;
        }
        return ClaimState.UNKNOWN;
    }
}
