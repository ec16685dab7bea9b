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
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class ConcurrencyBudgetTest {
    private static final Timestamp START = new Timestamp(0, 0);
    private static final Service SERVICE =
            new Service(new ServiceId("model"), ServiceKind.MODEL, new VersionId("v1"), 1, 16, 1_000);

    private final ConcurrencyBudget budget = new ConcurrencyBudget(SERVICE);

    @Test
    void serverWithoutReportsIsCold() {
        assertThat(budget.warm(), is(false));
        assertThat(budget.concurrency(), equalTo(SERVICE.coldConcurrency()));
    }

    @Test
    void tokensWithoutCompletedRequestsDoNotMakeServerWarm() {
        for (int i = 0; i < 50; i++) {
            budget.onSuccess(false, START);
        }

        assertThat(budget.concurrency(), equalTo(SERVICE.coldConcurrency()));
    }

    @Test
    void warmReportWithoutCompletedRequestsDoesNotMakeColdServerWarm() {
        budget.onReport(report(false), START);
        budget.onReport(report(true), START);

        assertThat(budget.warm(), is(false));
    }

    @Test
    void completedRequestsAndWarmReportMakeServerWarm() {
        budget.onReport(report(false), START);
        budget.onReport(report(true), START);
        budget.onSuccess(true, START);
        budget.onSuccess(true, START);

        assertThat(budget.warm(), is(true));
    }

    @Test
    void coldReportResetsBudgetToColdConcurrency() {
        budget.onReport(report(true), START);
        budget.onReport(report(false), START);

        assertThat(budget.concurrency(), equalTo(SERVICE.coldConcurrency()));
    }

    @Test
    void failureDecreasesBudgetOfWarmServer() {
        budget.onReport(report(true), START);
        int before = budget.concurrency();

        budget.onFailure(START);

        assertThat(budget.concurrency(), lessThan(before));
    }

    @Test
    void suspicionWithoutFreshReportMakesServerCold() {
        budget.onReport(report(true), START);

        budget.onColdSuspected(START.plus(Duration.ofSeconds(5)));

        assertThat(budget.warm(), is(false));
    }

    @Test
    void freshWarmReportRefutesSuspicion() {
        budget.onReport(report(true), START);

        budget.onColdSuspected(START.plus(Duration.ofMillis(100)));

        assertThat(budget.warm(), is(true));
    }

    private static LoadReport report(boolean warm) {
        return new LoadReport(0, 0, warm, 0, 0);
    }
}
