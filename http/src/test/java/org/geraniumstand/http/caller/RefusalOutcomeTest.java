package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.request.Outcome;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.junit.jupiter.api.Test;

final class RefusalOutcomeTest {
    private static final Refusal NOT_RUN = Refusal.notRun(RefusalReason.NO_SERVER, 1_000);

    @Test
    void reportsNotRunIfTheRequestCannotHaveRun() {
        assertThat(RefusalOutcome.of(NOT_RUN, false), is(NOT_RUN));
    }

    @Test
    void reportsUnknownIfTheRequestMayHaveRun() {
        Refusal refusal = RefusalOutcome.of(NOT_RUN, true);

        assertThat(refusal.outcome(), is(Outcome.UNKNOWN));
        assertThat(refusal.retryAfterMillis(), is(1_000L));
    }
}
