package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.junit.jupiter.api.Test;

/** Measures retries, unresponsive servers and delayed load reports. */
final class FaultTrialTest {
    private static final double LAST_REQUEST_MILLIS = 50_000;
    private static final double[] TEAM_RATES = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final double SURGE_PER_SECOND = 12;
    private static final double FAULT_START_MILLIS = 20_000;
    private static final double REPORT_LAG_MILLIS = 3_000;

    /** Retries are limited to a tenth of the successes, plus a small minimum in each of the eight processes. */
    private static final double MAX_ATTEMPTS_PER_CALL = 1.5;

    @Test
    void retriesStayBoundedWhenAllServersFail() {
        Trial trial = Trial.run("retry-storm", Deployments.dunmore(), LAST_REQUEST_MILLIS, simulation -> {
            Workload.start(simulation, TEAM_RATES, 2, LAST_REQUEST_MILLIS)
                    .addConversations(0, SURGE_PER_SECOND, FAULT_START_MILLIS);
            simulation
                    .clock()
                    .at(
                            FAULT_START_MILLIS,
                            () -> simulation.servers().stream()
                                    .filter(s -> isModel(s.listed().service()))
                                    .forEach(s -> s.setBehaviour(Behaviour.failing(1, 0))));
            return call -> isModel(call.requestInfo().service()) && call.arrivedMillis() >= FAULT_START_MILLIS;
        });
        trial.print("attempts-per-call", Measures::attemptsPerCall)
                .print("refused-not-run", Measures::refusedNotRun)
                .print("untrue", Measures::falseRefusals);

        assertThat(Trial.maximum(trial.product(), Measures::attemptsPerCall), lessThanOrEqualTo(MAX_ATTEMPTS_PER_CALL));
        assertThat(Trial.maximum(trial.product(), Measures::falseRefusals), equalTo(0.0));
    }

    @Test
    void streamsMoveAwayFromUnresponsiveServer() {
        Trial trial = Trial.run("silent-server", Deployments.dunmore(), LAST_REQUEST_MILLIS, simulation -> {
            Workload.start(simulation, TEAM_RATES, 2, LAST_REQUEST_MILLIS);
            simulation
                    .server(new ServerId("model-0"))
                    .setBehaviour(Behaviour.unresponsive(FAULT_START_MILLIS, Double.MAX_VALUE));
            return call -> isModel(call.requestInfo().service());
        });
        trial.printAll();

        assertThat(Trial.maximum(trial.product(), Measures::lost), equalTo(0.0));
        assertThat(
                Trial.median(trial.product(), Measures::inTargetPercent),
                greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
    }

    @Test
    void delayedLoadReportsKeepLatencyAndCostAdvantage() {
        Trial trial = Trial.run(
                "late-reports",
                Deployments.dunmore().withReportLag(REPORT_LAG_MILLIS),
                LAST_REQUEST_MILLIS,
                simulation -> {
                    Workload.start(simulation, TEAM_RATES, 2, LAST_REQUEST_MILLIS);
                    return _call -> true;
                });
        trial.printAll();

        assertThat(
                Trial.median(trial.product(), Measures::inTargetPercent),
                greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
        assertThat(
                Trial.median(trial.product(), Measures::engineCostPerThousand),
                lessThanOrEqualTo(Trial.median(trial.baseline(), Measures::engineCostPerThousand) * 0.75));
    }

    private static boolean isModel(ServiceId service) {
        return service.equals(Deployments.MODEL);
    }
}
