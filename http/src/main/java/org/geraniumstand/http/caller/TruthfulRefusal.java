package org.geraniumstand.http.caller;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.Outcome;
import org.geraniumstand.model.request.Refusal;

/** Decides which outcome a refusal may state. */
@Decision(
        name = "truthful-refusal",
        summary = "A request that may have reached a backend server is never refused as not run.")
final class TruthfulRefusal {
    private TruthfulRefusal() {}

    /** Returns the refusal with an outcome that is true. */
    static Refusal of(Refusal refusal, boolean mayHaveRun) {
        if (refusal.outcome() != Outcome.NOT_RUN || !mayHaveRun) {
            return refusal;
        }
        return new Refusal(refusal.reason(), Outcome.UNKNOWN, refusal.retryAfterMillis());
    }
}
