package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.TeamUsage;
import org.junit.jupiter.api.Test;

final class QuotaUsageSumsTest {
    private static final long SECOND = 1_000 * Calls.MILLI;
    private static final ProcessId ONE = new ProcessId("one");
    private static final ProcessId TWO = new ProcessId("two");

    private final QuotaUsageSums sums = new QuotaUsageSums();

    private void reportFromStart(ProcessId process, long units, long atNanos) {
        sums.onReport(process, List.of(usage(0)), Optional.empty(), atNanos);
        report(process, units, atNanos);
    }

    private void report(ProcessId process, long units, long atNanos) {
        sums.onReport(process, List.of(new TeamUsage(Calls.TEAM.id(), units)), Optional.empty(), atNanos);
    }

    private TeamUsage usage(long units) {
        return new TeamUsage(Calls.TEAM.id(), units);
    }

    @Test
    void excludesRequestingProcess() {
        reportFromStart(ONE, 10, 0);
        reportFromStart(TWO, 25, 0);

        assertThat(sums.sumExcluding(ONE), contains(usage(25)));
        assertThat(sums.sumExcluding(TWO), contains(usage(10)));
    }

    @Test
    void countsRepeatedReportsOnce() {
        reportFromStart(ONE, 10, 0);
        report(ONE, 12, 0);

        assertThat(sums.sumExcluding(TWO), contains(usage(12)));
    }

    /**
     * A process that starts to aggregate receives the first reports one after the other; no process may be charged for
     * past usage.
     */
    @Test
    void excludesUsageBeforeFirstReport() {
        report(ONE, 50_000, 0);
        assertThat(sums.sumExcluding(TWO), contains(usage(0)));
        report(ONE, 50_010, 0);

        assertThat(sums.sumExcluding(TWO), contains(usage(10)));
    }

    @Test
    void keepsUsageOfEndedProcess() {
        reportFromStart(ONE, 10, 0);
        sums.retain(Set.of(TWO), 0);

        assertThat(sums.sumExcluding(TWO), contains(usage(10)));
    }

    @Test
    void countsUsageThatNoAggregatorHadReceived() {
        sums.onReport(ONE, List.of(usage(50_000)), Optional.of(List.of(usage(49_900))), 0);

        assertThat(sums.sumExcluding(TWO), contains(usage(100)));
    }

    /** A stopping process is no member any more, but still admits requests. */
    @Test
    void countsUsageOfProcessThatIsNoLongerAMember() {
        reportFromStart(ONE, 10, 0);
        sums.retain(Set.of(TWO), SECOND);
        report(ONE, 35, SECOND);

        assertThat(sums.sumExcluding(TWO), contains(usage(35)));
    }

    @Test
    void excludesUsageOfProcessThatWasSilentForLong() {
        reportFromStart(ONE, 10, 0);
        report(ONE, 5_000, 31 * SECOND);

        assertThat(sums.sumExcluding(TWO), contains(usage(10)));
    }

    @Test
    void countsOnlyRecentReporters() {
        reportFromStart(ONE, 1, 0);
        reportFromStart(TWO, 1, 2 * SECOND);

        assertThat(sums.reportingProcesses(2 * SECOND), is(1));
    }
}
