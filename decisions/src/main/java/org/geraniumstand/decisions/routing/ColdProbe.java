package org.geraniumstand.decisions.routing;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.request.RequestInfo;

/** Decides whether a request may be sent to a cold backend server to warm it up. */
@Decision(
        name = "cold-probe",
        summary = "A cold backend server receives batch requests and a small share of the interactive requests to"
                + " warm up.")
public final class ColdProbe {
    private static final int INTERACTIVE_ONE_IN = 12;

    private ColdProbe() {}

    /**
     * Returns whether a request may be sent to a cold backend server that has spare concurrency.
     *
     * @param info the request
     * @param hash hash of the request
     */
    public static boolean allows(RequestInfo info, long hash) {
        if (info.priority() == Priority.BATCH) {
            return true;
        }
        return Hash.modulo(hash, INTERACTIVE_ONE_IN) == 0;
    }
}
