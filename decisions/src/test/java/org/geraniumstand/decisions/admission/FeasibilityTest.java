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
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;
import org.junit.jupiter.api.Test;

final class FeasibilityTest {
    private static final Moment START = new Moment(0, 0);
    private static final long DEADLINE_NANOS = Duration.ofSeconds(10).toNanos();

    @Test
    void passesWhatFits() {
        assertThat(test(Priority.INTERACTIVE, 0, 500), is(true));
    }

    @Test
    void refusesWhatMissesItsDeadline() {
        assertThat(test(Priority.BATCH, 0, 9_000), is(false));
    }

    @Test
    void refusesInteractiveWorkThatMissesTheTargetByFar() {
        assertThat(test(Priority.INTERACTIVE, 0, 4_000), is(false));
        assertThat(test(Priority.INTERACTIVE, 2_900, 500), is(false));
    }

    @Test
    void letsBatchWorkWait() {
        assertThat(test(Priority.BATCH, 0, 4_000), is(true));
    }

    @Test
    void stoppingProcessServesWhileTheBalancerStillSends() {
        StopGate gate = new StopGate();
        gate.onStop(START);
        Moment unseen = START.plus(Duration.ofMillis(StopGate.BALANCER_LAG_MILLIS - 1));
        Moment seen = START.plus(Duration.ofMillis(StopGate.BALANCER_LAG_MILLIS));

        assertThat(gate.open(unseen), is(true));
        assertThat(gate.open(seen), is(false));
        assertThat(gate.completes(false, seen), is(false));
        assertThat(gate.completes(true, seen), is(true));
    }

    private static boolean test(Priority priority, double waited, double wait) {
        RequestFacts facts = new RequestFacts(
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
        return Feasibility.test(facts, waited, wait, 200, 20, 1_000, START);
    }
}
