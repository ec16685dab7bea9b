package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.ServerInFlight;
import org.geraniumstand.model.relay.SlownessNews;
import org.junit.jupiter.api.Test;

final class InFlightSumsTest {
    private static final ProcessId ONE = new ProcessId("one");
    private static final ProcessId TWO = new ProcessId("two");
    private static final ProcessId THREE = new ProcessId("three");
    private static final ServerId A = new ServerId("a");
    private static final ServerId B = new ServerId("b");

    private final InFlightSums sums = new InFlightSums();

    private static ServerInFlight inFlight(ServerId server, int calls) {
        return new ServerInFlight(server, calls, 100L * calls);
    }

    @Test
    void sumsCallsOfOtherProcesses() {
        sums.onReport(ONE, List.of(inFlight(A, 1)), 0);
        sums.onReport(TWO, List.of(inFlight(A, 2), inFlight(B, 3)), 0);
        sums.onReport(THREE, List.of(inFlight(A, 4)), 0);

        assertThat(sums.sumExcluding(ONE), containsInAnyOrder(inFlight(A, 6), inFlight(B, 3)));
        assertThat(sums.sumExcluding(TWO), contains(inFlight(A, 5)));
    }

    @Test
    void replacesPreviousReportOfProcess() {
        sums.onReport(ONE, List.of(inFlight(A, 5)), 0);
        sums.onReport(ONE, List.of(inFlight(B, 1)), 1);

        assertThat(sums.sumExcluding(TWO), contains(inFlight(B, 1)));
    }

    @Test
    void omitsServersWithoutCalls() {
        sums.onReport(ONE, List.of(inFlight(A, 5)), 0);
        sums.onReport(ONE, List.of(), 1);

        assertThat(sums.sumExcluding(TWO), empty());
    }

    @Test
    void removesEndedAndExpiredProcesses() {
        sums.onReport(ONE, List.of(inFlight(A, 1)), 0);
        sums.onReport(TWO, List.of(inFlight(A, 2)), 0);
        sums.onReport(THREE, List.of(inFlight(A, 4)), 1_600 * Calls.MILLI);

        sums.retain(Set.of(TWO, THREE), 1_000 * Calls.MILLI);
        assertThat(sums.sumExcluding(ONE), contains(inFlight(A, 6)));

        sums.retain(Set.of(TWO, THREE), 1_600 * Calls.MILLI);
        assertThat(sums.sumExcluding(ONE), contains(inFlight(A, 4)));
    }

    @Test
    void tellsTheLatestNewsOfHostsAtItsAge() {
        sums.onReport(ONE, List.of(slow(A, 0, 250, 300)), 1_000 * Calls.MILLI);
        sums.onReport(TWO, List.of(slow(A, 2, 100, 50)), 1_100 * Calls.MILLI);
        sums.onReport(THREE, List.of(slow(A, 1, 250, 400)), 1_200 * Calls.MILLI);

        assertThat(sums.sumExcluding(ONE), contains(slow(A, 3, 100, 150)));
        assertThat(sums.sumExcluding(TWO), contains(slow(A, 1, 100, 150)));

        sums.retain(Set.of(ONE, TWO, THREE), 2_600 * Calls.MILLI);
        assertThat(sums.sumExcluding(ONE), contains(inFlight(A, 3)));
    }

    private static ServerInFlight slow(ServerId server, int calls, int percent, long ageMillis) {
        return new ServerInFlight(server, calls, 100L * calls, Optional.of(new SlownessNews(percent, ageMillis)));
    }
}
