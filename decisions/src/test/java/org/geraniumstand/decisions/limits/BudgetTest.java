package org.geraniumstand.decisions.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.time.Moment;
import org.junit.jupiter.api.Test;

final class BudgetTest {
    private static final Moment START = new Moment(0, 0);
    private static final Service SERVICE =
            new Service(new ServiceId("model"), ServiceKind.MODEL, new VersionId("v1"), 1, 16, 1_000);

    private final Budget budget = new Budget(SERVICE);

    @Test
    void unknownServerCountsAsCold() {
        assertThat(budget.warm(), is(false));
        assertThat(budget.concurrency(), equalTo(SERVICE.coldConcurrency()));
    }

    @Test
    void firstTokensDoNotWarmAColdServer() {
        for (int i = 0; i < 50; i++) {
            budget.onGood(false, START);
        }

        assertThat(budget.concurrency(), equalTo(SERVICE.coldConcurrency()));
    }

    @Test
    void reportAloneDoesNotWarmAServerThatWasCold() {
        budget.onReport(report(false), START);
        budget.onReport(report(true), START);

        assertThat(budget.warm(), is(false));
    }

    @Test
    void completedWorkAndAReportWarmAServer() {
        budget.onReport(report(false), START);
        budget.onReport(report(true), START);
        budget.onGood(true, START);
        budget.onGood(true, START);

        assertThat(budget.warm(), is(true));
    }

    @Test
    void coldReportShrinksAtOnce() {
        budget.onReport(report(true), START);
        budget.onReport(report(false), START);

        assertThat(budget.concurrency(), equalTo(SERVICE.coldConcurrency()));
    }

    @Test
    void failureShrinksAWarmBudget() {
        budget.onReport(report(true), START);
        int before = budget.concurrency();

        budget.onBad(START);

        assertThat(budget.concurrency(), lessThan(before));
    }

    @Test
    void suspicionHoldsWithoutAFreshReport() {
        budget.onReport(report(true), START);

        budget.onSuspicion(START.plus(Duration.ofSeconds(5)));

        assertThat(budget.warm(), is(false));
    }

    @Test
    void freshReportRefutesSuspicion() {
        budget.onReport(report(true), START);

        budget.onSuspicion(START.plus(Duration.ofMillis(100)));

        assertThat(budget.warm(), is(true));
    }

    private static LoadReport report(boolean warm) {
        return new LoadReport(0, 0, warm, 0, 0);
    }
}
