package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

final class QueueWaitEstimateTest {
    private final QueueWaitEstimate estimate = new QueueWaitEstimate();

    @Test
    void expectsNoWaitWithoutQueuedCalls() {
        assertThat(estimate.waitMillis(3, 0), is(0L));
    }

    @Test
    void expectsNoWaitWhenQueueStarts() {
        estimate.onQueueNonEmpty(0);

        assertThat(estimate.waitMillis(3, 0), is(0L));
    }

    @Test
    void usesMeanTimeBetweenDispatches() {
        estimate.onQueueNonEmpty(0);
        for (int i = 0; i < 10; i++) {
            estimate.onDispatched(1);
        }

        assertThat(estimate.waitMillis(0, 1_000 * Calls.MILLI), is(100L));
        assertThat(estimate.waitMillis(4, 1_000 * Calls.MILLI), is(500L));
    }

    @Test
    void expectsLongerWaitWhileNothingIsDispatched() {
        estimate.onQueueNonEmpty(0);

        assertThat(estimate.waitMillis(0, 500 * Calls.MILLI), is(500L));
        assertThat(estimate.waitMillis(1, 1_000 * Calls.MILLI), is(2_000L));
    }

    /** Half of the servers are lost at 4 s: slots become free every 50 ms before and every 200 ms after. */
    @Test
    void followsLossOfServersWithinSeconds() {
        estimate.onQueueNonEmpty(0);
        long now = 0;
        for (int i = 0; i < 80; i++) {
            now += 50 * Calls.MILLI;
            estimate.onQueueNonEmpty(now);
            estimate.onDispatched(1);
        }
        assertThat(estimate.waitMillis(0, now), lessThan(70L));
        for (int i = 0; i < 20; i++) {
            now += 200 * Calls.MILLI;
            estimate.onQueueNonEmpty(now);
            estimate.onDispatched(1);
        }

        assertThat(estimate.waitMillis(0, now), greaterThan(130L));
    }

    @Test
    void resetsOnceQueueIsEmpty() {
        estimate.onQueueNonEmpty(0);
        estimate.onQueueEmpty();

        assertThat(estimate.waitMillis(5, 1_000 * Calls.MILLI), is(0L));
    }

    /** Nothing came free here for 100 ms, while all processes dispatch 100 calls a second; some calls are refused first. */
    @Test
    void usesLineOfAllProcesses() {
        estimate.onQueueNonEmpty(0);

        assertThat(estimate.waitMillis(99, 0, 100, 100 * Calls.MILLI), is(2_000L));
        assertThat(estimate.waitMillis(99, 0.5, 100, 100 * Calls.MILLI), is(3_000L));
        assertThat(estimate.waitMillis(0, 0.5, 0, 100 * Calls.MILLI), is(100L));
    }
}
