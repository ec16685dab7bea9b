package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.WaitingCalls;
import org.junit.jupiter.api.Test;

final class WaitingSumsTest {
    private static final ProcessId ONE = new ProcessId("one");
    private static final ProcessId TWO = new ProcessId("two");
    private static final ProcessId THREE = new ProcessId("three");

    private final WaitingSums sums = new WaitingSums();

    private static WaitingCalls waiting(int calls, int sentCalls) {
        return new WaitingCalls(Calls.PLAIN_SERVICE, 0, "shops", calls, sentCalls, 10L * sentCalls);
    }

    @Test
    void sumsAllButTheReceiver() {
        sums.onReport(ONE, List.of(waiting(1, 2)), 0);
        sums.onReport(TWO, List.of(waiting(3, 4)), 0);
        sums.onReport(THREE, List.of(waiting(9, 9)), 0);
        sums.onReport(THREE, List.of(waiting(5, 6)), 0);

        assertThat(sums.sumExcluding(ONE), contains(waiting(8, 10)));
    }

    @Test
    void forgetsProcessWhoseLineIsEmpty() {
        sums.onReport(ONE, List.of(waiting(1, 2)), 0);
        sums.onReport(ONE, List.of(), 0);

        assertThat(sums.sumExcluding(TWO), is(empty()));
    }

    @Test
    void forgetsProcessesThatEndedOrAreSilent() {
        sums.onReport(ONE, List.of(waiting(1, 2)), 0);
        sums.onReport(TWO, List.of(waiting(3, 4)), 1_000 * Calls.MILLI);
        sums.onReport(THREE, List.of(waiting(5, 6)), 1_000 * Calls.MILLI);
        sums.retain(Set.of(ONE, THREE), 1_600 * Calls.MILLI);

        assertThat(sums.sumExcluding(ONE), contains(waiting(5, 6)));
    }
}
