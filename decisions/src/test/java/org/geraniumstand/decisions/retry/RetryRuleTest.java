package org.geraniumstand.decisions.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.time.Moment;
import org.junit.jupiter.api.Test;

final class RetryRuleTest {
    private static final Moment START = new Moment(0, 0);
    private static final ServerId ENGINE = new ServerId("engine-1");

    @Test
    void repeatsIdempotentWork() {
        assertThat(RetryRule.test(true, AttemptEnd.BROKEN, 1, 10, 0), is(true));
    }

    @Test
    void neverRepeatsOtherWorkThatMayHaveRun() {
        assertThat(RetryRule.test(false, AttemptEnd.BROKEN, 1, 10, 0), is(false));
        assertThat(RetryRule.test(false, AttemptEnd.SILENT, 1, 10, 0), is(false));
        assertThat(RetryRule.test(false, AttemptEnd.SERVER_ERROR, 1, 10, 0), is(false));
    }

    @Test
    void repeatsOtherWorkThatDidNotRun() {
        assertThat(RetryRule.test(false, AttemptEnd.NOT_CONNECTED, 1, 10, 0), is(true));
        assertThat(RetryRule.test(false, AttemptEnd.DECLINED, 1, 10, 0), is(true));
    }

    @Test
    void repeatsNothingPastTheDeadline() {
        assertThat(RetryRule.test(true, AttemptEnd.BROKEN, 1, 10, 10), is(false));
    }

    @Test
    void budgetRunsOutAndFillsWithSuccesses() {
        RetryBudget budget = new RetryBudget();
        int spent = 0;
        while (budget.spend(START)) {
            spent++;
        }
        for (int i = 0; i < 10; i++) {
            budget.onSuccess(10);
        }

        assertThat(spent <= 10, is(true));
        assertThat(budget.spend(START), is(true));
        assertThat(budget.spend(START), is(false));
    }

    /** A server is lost with 16 calls in the first seconds, before successes have filled the budget. */
    @Test
    void budgetPaysForTheLossOfOneServer() {
        RetryBudget budget = new RetryBudget();
        Moment lost = after(1_500);

        for (int i = 0; i < 16; i++) {
            assertThat(budget.spendForBreak(ENGINE, lost), is(true));
        }
    }

    /** A server breaks 50 calls a second for 10 s. */
    @Test
    void budgetEndsForServerThatGoesOnBreakingCalls() {
        RetryBudget budget = new RetryBudget();
        int repeated = 0;
        for (int i = 0; i < 500; i++) {
            repeated += budget.spendForBreak(ENGINE, after(20L * i)) ? 1 : 0;
        }

        assertThat(repeated, lessThanOrEqualTo(10 * 5));
    }

    private static Moment after(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }
}
