package org.geraniumstand.decisions.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class RetryPolicyTest {
    private static final Timestamp START = new Timestamp(0, 0);
    private static final ServerId SERVER = new ServerId("engine-1");

    @Test
    void retriesIdempotentRequest() {
        assertThat(RetryPolicy.allowsRetry(true, AttemptEnd.BROKEN, 1, 10, 0), is(true));
    }

    @Test
    void doesNotRetryNonIdempotentRequestThatMayHaveRun() {
        assertThat(RetryPolicy.allowsRetry(false, AttemptEnd.BROKEN, 1, 10, 0), is(false));
        assertThat(RetryPolicy.allowsRetry(false, AttemptEnd.SILENT, 1, 10, 0), is(false));
        assertThat(RetryPolicy.allowsRetry(false, AttemptEnd.SERVER_ERROR, 1, 10, 0), is(false));
    }

    @Test
    void retriesNonIdempotentRequestThatDidNotRun() {
        assertThat(RetryPolicy.allowsRetry(false, AttemptEnd.NOT_CONNECTED, 1, 10, 0), is(true));
        assertThat(RetryPolicy.allowsRetry(false, AttemptEnd.DECLINED, 1, 10, 0), is(true));
    }

    @Test
    void doesNotRetryAfterDeadline() {
        assertThat(RetryPolicy.allowsRetry(true, AttemptEnd.BROKEN, 1, 10, 10), is(false));
    }

    @Test
    void budgetIsExhaustedByRetriesAndRefilledBySuccesses() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        while (budget.spend(START)) {
            retries++;
        }
        for (int i = 0; i < 10; i++) {
            budget.onSuccess(10);
        }

        assertThat(retries <= 10, is(true));
        assertThat(budget.spend(START), is(true));
        assertThat(budget.spend(START), is(false));
    }

    /**
     * Guards against running out of retries when a server fails with 16 requests in flight in the first seconds of the
     * process, before successes have filled the budget.
     */
    @Test
    void budgetCoversAllRequestsThatFailWithOneServer() {
        RetryBudget budget = new RetryBudget();
        Timestamp failedAt = after(1_500);

        for (int i = 0; i < 16; i++) {
            assertThat(budget.spendForBrokenConnection(SERVER, failedAt), is(true));
        }
    }

    /** Guards against unbounded retries when a server breaks 50 connections per second for 10 s. */
    @Test
    void budgetBoundsRetriesOfServerThatKeepsBreakingConnections() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int i = 0; i < 500; i++) {
            retries += budget.spendForBrokenConnection(SERVER, after(20L * i)) ? 1 : 0;
        }

        assertThat(retries, lessThanOrEqualTo(10 * 5));
    }

    private static Timestamp after(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }
}
