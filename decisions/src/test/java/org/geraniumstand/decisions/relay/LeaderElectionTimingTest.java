package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

final class LeaderElectionTimingTest {
    private static final int PROCESSES = 78;
    private static final long DAY_MILLIS = 50_000;

    /** The leader does not change for a whole simulated day of 50 s; the checks of many processes must stay few. */
    @Test
    void checksOfManyProcessesStayFew() {
        double checks = 0;
        for (int i = 0; i < PROCESSES; i++) {
            checks += (double) DAY_MILLIS / LeaderElectionTiming.pollDelayMillis(i < 2, (double) i / PROCESSES);
        }

        assertThat(checks, lessThan(8.0 * PROCESSES));
    }

    /** The leader is killed; a candidate takes over well before a report is due. */
    @Test
    void candidatesAcquireWithoutDelay() {
        assertThat(LeaderElectionTiming.acquireDelayMillis(true, 1), lessThanOrEqualTo(300L));
        assertThat(LeaderElectionTiming.pollDelayMillis(true, 1), lessThan(3_000L));
    }

    @Test
    void otherProcessesWaitForCandidates() {
        assertThat(
                LeaderElectionTiming.acquireDelayMillis(false, 0),
                greaterThan(LeaderElectionTiming.acquireDelayMillis(true, 1)));
    }

    /** The candidates are partitioned from the store, so another process has to take over before a report is due. */
    @Test
    void otherProcessesAcquireBeforeReportIsDue() {
        assertThat(
                LeaderElectionTiming.pollDelayMillis(false, 1) + LeaderElectionTiming.acquireDelayMillis(false, 0),
                lessThan(15_000L));
    }
}
