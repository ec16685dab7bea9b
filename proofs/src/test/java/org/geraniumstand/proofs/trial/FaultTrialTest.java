package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.junit.jupiter.api.Test;

/** Measures retries, silence and load reports that come late. */
final class FaultTrialTest {
    private static final double LAST_MILLIS = 50_000;
    private static final double[] TEAMS = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final double STORM_EACH_SECOND = 12;
    private static final double FAULT_MILLIS = 20_000;
    private static final double LATE_REPORT_MILLIS = 3_000;

    /** A tenth of the successes may be tried again, and each of eight processes has a small minimum besides. */
    private static final double MOST_ATTEMPTS_PER_CALL = 1.5;

    @Test
    void retriesStayBoundedWhenAllServersFail() {
        Trial trial = Trial.run("retry-storm", Deployments.dunmore(), LAST_MILLIS, world -> {
            Workload.start(world, TEAMS, 2, LAST_MILLIS).more(0, STORM_EACH_SECOND, FAULT_MILLIS);
            world.clock()
                    .at(
                            FAULT_MILLIS,
                            () -> world.servers().stream()
                                    .filter(s -> isModel(s.listed().service()))
                                    .forEach(s -> s.behave(Behaviour.failing(1, 0))));
            return call -> isModel(call.facts().service()) && call.arrivedMillis() >= FAULT_MILLIS;
        });
        trial.print("attempts-per-call", Measures::attemptsPerCall)
                .print("refused-not-run", Measures::refusedNotRun)
                .print("untrue", Measures::untrue);

        assertThat(Trial.most(trial.product(), Measures::attemptsPerCall), lessThanOrEqualTo(MOST_ATTEMPTS_PER_CALL));
        assertThat(Trial.most(trial.product(), Measures::untrue), equalTo(0.0));
    }

    @Test
    void streamsLeaveAServerThatFallsSilent() {
        Trial trial = Trial.run("silent-server", Deployments.dunmore(), LAST_MILLIS, world -> {
            Workload.start(world, TEAMS, 2, LAST_MILLIS);
            world.server(new ServerId("model-0")).behave(Behaviour.silent(FAULT_MILLIS, Double.MAX_VALUE));
            return call -> isModel(call.facts().service());
        });
        trial.printAll();

        assertThat(Trial.most(trial.product(), Measures::lost), equalTo(0.0));
        assertThat(
                Trial.median(trial.product(), Measures::inTargetPercent),
                greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
    }

    @Test
    void lateLoadReportsCostNoService() {
        Trial trial = Trial.run(
                "late-reports", Deployments.dunmore().withReportLag(LATE_REPORT_MILLIS), LAST_MILLIS, world -> {
                    Workload.start(world, TEAMS, 2, LAST_MILLIS);
                    return _call -> true;
                });
        trial.printAll();

        assertThat(
                Trial.median(trial.product(), Measures::inTargetPercent),
                greaterThanOrEqualTo(Trial.median(trial.baseline(), Measures::inTargetPercent)));
        assertThat(
                Trial.median(trial.product(), Measures::costPerThousand),
                lessThanOrEqualTo(Trial.median(trial.baseline(), Measures::costPerThousand) * 0.75));
    }

    private static boolean isModel(ServiceId service) {
        return service.equals(Deployments.MODEL);
    }
}
