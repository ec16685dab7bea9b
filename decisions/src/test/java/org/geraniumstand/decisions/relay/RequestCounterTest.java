package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;
import org.junit.jupiter.api.Test;

final class RequestCounterTest {
    private static final TeamId TEAM = new TeamId("shops");
    private static final ProcessId ONE = new ProcessId("one");
    private static final ProcessId TWO = new ProcessId("two");

    private final RequestCounter counter = new RequestCounter(5_000);

    @Test
    void sendsCountsUntilConfirmed() {
        counter.onStarted(TEAM, 4_999);
        counter.onStarted(TEAM, 5_000);
        assertThat(
                counter.unconfirmed(ONE),
                contains(new WindowCounts(0, Map.of(TEAM, 1L)), new WindowCounts(1, Map.of(TEAM, 1L))));
        counter.onConfirmed(ONE, List.of(new WindowTotal(0, 1), new WindowTotal(1, 1)));
        assertThat(counter.unconfirmed(ONE), empty());
        counter.onStarted(TEAM, 5_001);

        assertThat(counter.unconfirmed(ONE), contains(new WindowCounts(1, Map.of(TEAM, 2L))));
    }

    @Test
    void sendsAllCountsToNewAggregator() {
        counter.onStarted(TEAM, 0);
        counter.onConfirmed(ONE, List.of(new WindowTotal(0, 1)));

        assertThat(counter.unconfirmed(TWO), contains(new WindowCounts(0, Map.of(TEAM, 1L))));
    }

    /** A process that is partitioned from all others must write its counts itself. */
    @Test
    void returnsUnconfirmedCountsOfEndedWindows() {
        counter.onStarted(TEAM, 0);
        counter.onStarted(TEAM, 0);
        counter.onConfirmed(ONE, List.of(new WindowTotal(0, 1)));
        assertThat(counter.unconfirmedBefore(0), empty());
        assertThat(counter.unconfirmedBefore(1), contains(new WindowCounts(0, Map.of(TEAM, 2L))));
        counter.onConfirmed(TWO, List.of(new WindowTotal(0, 2)));

        assertThat(counter.unconfirmedBefore(1), empty());
    }

    @Test
    void discardsWindowsNoLongerDue() {
        counter.onStarted(TEAM, 0);
        counter.onStarted(TEAM, 10_000);
        counter.discardBefore(1);

        assertThat(counter.unconfirmed(ONE).stream().map(WindowCounts::window).toList(), is(List.of(2L)));
    }
}
