package org.geraniumstand.http.caller;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.Outcome;
import org.geraniumstand.model.request.Refusal;

/** Corrects the outcome that a refusal reports to the caller. */
@Decision(
        name = "truthful-refusal",
        summary =
                "Reports the outcome of a refused request as unknown if the request may have reached a backend server.")
final class RefusalOutcome {
    private RefusalOutcome() {}

    /** Returns the refusal, with an unknown outcome if the request may have run. */
    static Refusal of(Refusal refusal, boolean mayHaveRun) {
        if (refusal.outcome() != Outcome.NOT_RUN || !mayHaveRun) {
            return refusal;
        }
        return new Refusal(refusal.reason(), Outcome.UNKNOWN, refusal.retryAfterMillis());
    }
}
