package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.LostServer;
import org.junit.jupiter.api.Test;

final class LostServersTest {
    private static final ServerId SERVER = new ServerId("s");

    private static final ProcessId ONE = new ProcessId("one");
    private static final ProcessId TWO = new ProcessId("two");

    private final LostServers lost = new LostServers();

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    @Test
    void returnsNewestLossWithAge() {
        lost.onReport(ONE, List.of(new LostServer(SERVER, 500)), at(1_000));
        lost.onReport(ONE, List.of(new LostServer(SERVER, 900)), at(1_100));

        assertThat(lost.recentLosses(at(1_200)), contains(new LostServer(SERVER, 700)));
    }

    /** A loss that is reported over and over must still expire. */
    @Test
    void expiresOldLossThatIsReportedAgain() {
        lost.onReport(ONE, List.of(new LostServer(SERVER, 0)), at(0));
        for (long millis = 400; millis <= 10_400; millis += 400) {
            lost.onReport(ONE, lost.recentLosses(at(millis)), at(millis));
        }

        assertThat(lost.recentLosses(at(10_400)), empty());
    }

    @Test
    void countsProcessesThatCouldNotConnectApartFromLosses() {
        lost.onReport(ONE, List.of(new LostServer(SERVER, 300), new LostServer(SERVER, 100, 1)), at(1_000));
        lost.onReport(TWO, List.of(new LostServer(SERVER, 200, 1)), at(1_100));

        assertThat(lost.recentLosses(at(1_200)), contains(new LostServer(SERVER, 500), new LostServer(SERVER, 300, 2)));
    }

    /** The server answered one of the processes, or its report is late. */
    @Test
    void dropsProcessesThatNoLongerReportAServer() {
        lost.onReport(ONE, List.of(new LostServer(SERVER, 0, 1)), at(1_000));
        lost.onReport(TWO, List.of(new LostServer(SERVER, 0, 1)), at(1_000));
        lost.onReport(TWO, List.of(), at(1_200));

        assertThat(lost.recentLosses(at(1_300)), contains(new LostServer(SERVER, 300, 1)));
        assertThat(lost.recentLosses(at(2_100)), empty());
    }
}
