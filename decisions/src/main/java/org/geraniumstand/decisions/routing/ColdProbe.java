package org.geraniumstand.decisions.routing;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.request.RequestFacts;

/** Tells whether a request may help a cold backend server to become warm. */
@Decision(
        name = "cold-probe",
        summary = "A cold backend server gets batch work and a small part of the interactive work, so that it becomes"
                + " warm.")
public final class ColdProbe {
    private static final int INTERACTIVE_ONE_IN = 12;

    private ColdProbe() {}

    /**
     * Returns whether a request goes to a cold backend server if one has room.
     *
     * @param facts the request
     * @param hash hash of the request
     */
    public static boolean test(RequestFacts facts, long hash) {
        if (facts.priority() == Priority.BATCH) {
            return true;
        }
        return Hash.below(hash, INTERACTIVE_ONE_IN) == 0;
    }
}
