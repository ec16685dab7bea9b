package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RetryDenialsTest {
    private static final RelayRetryBudget.Usage FULL = new RelayRetryBudget.Usage(10, 2, 2.5);

    private final RetryDenials denials = new RetryDenials(0);

    @Test
    void reportsEachServiceOnceASecond() {
        assertThat(denials.onDenied(Calls.PLAIN_SERVICE, () -> FULL, 0.25, 0).isPresent(), is(true));
        assertThat(denials.onDenied(Calls.PLAIN_SERVICE, () -> FULL, 0.25, 400 * Calls.MILLI), is(Optional.empty()));
        assertThat(
                denials.onDenied(Calls.ENGINE_SERVICE, () -> FULL, 0.25, 400 * Calls.MILLI)
                        .isPresent(),
                is(true));

        assertThat(
                denials.onDenied(Calls.PLAIN_SERVICE, () -> FULL, 0.25, 1_000 * Calls.MILLI),
                is(Optional.of(new DeniedRetries(Calls.PLAIN_SERVICE, 2, FULL, 0.25, 1_000))));
        assertThat(denials.total(), is(4L));
    }
}
