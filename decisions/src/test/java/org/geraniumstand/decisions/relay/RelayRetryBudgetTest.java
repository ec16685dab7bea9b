package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

final class RelayRetryBudgetTest {
    @Test
    void allowsShareOfSlackWithoutRequests() {
        RelayRetryBudget budget = new RelayRetryBudget(0.2, 50, 10_000);

        assertThat(acquired(budget, 1.0 / 5, 0), is(9));
    }

    @Test
    void allowsFractionOfRequests() {
        RelayRetryBudget budget = new RelayRetryBudget(0.2, 0, 10_000);
        request(budget, 100, 0);
        request(budget, 100, 10_200 * Calls.MILLI);

        assertThat(acquired(budget, 1, 10_200 * Calls.MILLI), is(17));
    }

    /** A killed process may have spent the budget just before its callers moved here. */
    @Test
    void requestsBeyondThoseOfTheWindowBeforeEarnLittle() {
        RelayRetryBudget budget = new RelayRetryBudget(0.2, 0, 10_000);
        request(budget, 100, 0);

        assertThat(acquired(budget, 1, 0), is(1));

        request(budget, 400, 10_200 * Calls.MILLI);

        assertThat(acquired(budget, 1, 10_200 * Calls.MILLI), is(21));
    }

    /** The rule counts the requests of the window of the retries, so that an earlier peak of load does not help. */
    @Test
    void requestsOfTheWindowBeforeAloneEarnNothing() {
        RelayRetryBudget budget = new RelayRetryBudget(0.2, 0, 10_000);
        request(budget, 1_000, 0);

        assertThat(acquired(budget, 1, 10_200 * Calls.MILLI), is(0));
    }

    @Test
    void refillsAfterWindow() {
        RelayRetryBudget budget = new RelayRetryBudget(0.2, 50, 10_000);
        acquired(budget, 1.0 / 5, 0);

        assertThat(acquired(budget, 1.0 / 5, 20_000 * Calls.MILLI), is(9));
    }

    /** All answers of a service are lost for ten seconds, so that each request needs a retry. */
    @Test
    void staysWithinLimitWhileEveryRequestFails() {
        RelayRetryBudget budget = new RelayRetryBudget(0.2, 54, 10_000);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.onRequest(i * 10L * Calls.MILLI);
            retries += budget.tryAcquire(1.0 / 7, i * 10L * Calls.MILLI) ? 1 : 0;
        }

        assertThat(retries, lessThanOrEqualTo((int) (0.2 * 1_000 + 54.0 / 7)));
    }

    @Test
    void countsRetriesForAWholeWindowAfterTheEndOfASlot() {
        RelayRetryBudget budget = new RelayRetryBudget(0.2, 50, 10_000);
        int before = acquired(budget, 1, 499 * Calls.MILLI);

        assertThat(before + acquired(budget, 1, 10_001 * Calls.MILLI), lessThanOrEqualTo(50));
    }

    private static void request(RelayRetryBudget budget, int count, long nowNanos) {
        for (int i = 0; i < count; i++) {
            budget.onRequest(nowNanos);
        }
    }

    private static int acquired(RelayRetryBudget budget, double slackShare, long nowNanos) {
        int acquired = 0;
        while (acquired < 1_000 && budget.tryAcquire(slackShare, nowNanos)) {
            acquired++;
        }
        return acquired;
    }
}
