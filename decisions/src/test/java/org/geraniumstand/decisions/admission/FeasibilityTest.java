package org.geraniumstand.decisions.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class FeasibilityTest {
    private static final Timestamp START = new Timestamp(0, 0);
    private static final double TARGET_MILLIS = 1_000;
    private static final long DEADLINE_NANOS = Duration.ofSeconds(10).toNanos();

    @Test
    void requestThatFitsMeetsDeadline() {
        assertThat(meetsDeadline(500), is(true));
    }

    @Test
    void requestThatWaitsTooLongMissesDeadline() {
        assertThat(meetsDeadline(9_000), is(false));
    }

    @Test
    void interactiveRequestMayWaitThreeTimesTheTarget() {
        assertThat(Feasibility.nearTarget(request(Priority.INTERACTIVE), 2_900, TARGET_MILLIS, START), is(true));
        assertThat(Feasibility.nearTarget(request(Priority.INTERACTIVE), 3_100, TARGET_MILLIS, START), is(false));
    }

    @Test
    void waitAboveTheTargetStillMeetsDeadline() {
        assertThat(meetsDeadline(4_000), is(true));
    }

    @Test
    void estimateExcludesIdleTime() {
        WaitEstimator estimator = new WaitEstimator();
        estimator.onDispatch(false, START);
        Timestamp later = START.plus(Duration.ofSeconds(60));
        estimator.onQueueStart(later);

        assertThat(estimator.millis(1, later.plus(Duration.ofMillis(400))), is(200.0));
    }

    @Test
    void targetDoesNotApplyToBatchRequest() {
        assertThat(Feasibility.nearTarget(request(Priority.BATCH), 4_000, TARGET_MILLIS, START), is(true));
    }

    @Test
    void processInShutdownAcceptsNewWorkUntilBalancerLagHasPassed() {
        ShutdownGate shutdown = new ShutdownGate();
        shutdown.onShutdownRequested(START);
        Timestamp beforeLag = START.plus(Duration.ofMillis(ShutdownGate.BALANCER_LAG_MILLIS - 1));
        Timestamp afterLag = START.plus(Duration.ofMillis(ShutdownGate.BALANCER_LAG_MILLIS));

        assertThat(shutdown.acceptsNewWork(beforeLag), is(true));
        assertThat(shutdown.acceptsNewWork(afterLag), is(false));
        assertThat(shutdown.tryComplete(false, afterLag), is(false));
        assertThat(shutdown.tryComplete(true, afterLag), is(true));
    }

    private static boolean meetsDeadline(double waitMillis) {
        return Feasibility.meetsDeadline(request(Priority.INTERACTIVE), waitMillis, 200, 20, START);
    }

    private static RequestInfo request(Priority priority) {
        return new RequestInfo(
                new RequestId("r"),
                new TeamId("t"),
                new ServiceId("s"),
                new RouteId("x"),
                true,
                true,
                priority,
                DEADLINE_NANOS,
                100,
                100,
                List.of());
    }
}
