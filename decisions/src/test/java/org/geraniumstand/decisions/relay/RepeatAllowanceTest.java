package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

final class RepeatAllowanceTest {
    @Test
    void allowsItsShareOfTheSlackWithoutRequests() {
        RepeatAllowance allowance = new RepeatAllowance(0.2, 50, 10_000);

        assertThat(spent(allowance, 5, 0), is(8));
    }

    @Test
    void allowsMoreWithMoreRequests() {
        RepeatAllowance allowance = new RepeatAllowance(0.2, 0, 10_000);
        for (int i = 0; i < 100; i++) {
            allowance.onRequest(0);
        }

        assertThat(spent(allowance, 1, 0), is(16));
    }

    @Test
    void forgetsAfterTheWindow() {
        RepeatAllowance allowance = new RepeatAllowance(0.2, 50, 10_000);
        spent(allowance, 5, 0);

        assertThat(spent(allowance, 5, 20_000 * Calls.MILLI), is(8));
    }

    /** All answers of a service are lost for ten seconds, so that each request asks for a repeat. */
    @Test
    void staysWithinTheBoundWhileEveryRequestFails() {
        RepeatAllowance allowance = new RepeatAllowance(0.2, 54, 10_000);
        int repeats = 0;
        for (int i = 0; i < 1_000; i++) {
            allowance.onRequest(i * 10L * Calls.MILLI);
            repeats += allowance.spend(7, i * 10L * Calls.MILLI) ? 1 : 0;
        }

        assertThat(repeats, lessThanOrEqualTo((int) (0.2 * 1_000 + 54.0 / 7)));
    }

    private static int spent(RepeatAllowance allowance, int processes, long nowNanos) {
        int spent = 0;
        while (spent < 1_000 && allowance.spend(processes, nowNanos)) {
            spent++;
        }
        return spent;
    }
}
