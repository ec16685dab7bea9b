package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.WaitingCalls;
import org.junit.jupiter.api.Test;

final class WaitingLineTest {
    private static final WaitingLine.Key SHOPS = new WaitingLine.Key(1, "shops");
    private static final long NEWS_EXPIRED = 1_501 * Calls.MILLI;

    private final WaitingLine line = new WaitingLine(Calls.PLAIN_SERVICE);

    private static WaitingCalls waiting(int rank, String team, int calls, int sentCalls, long sentWork) {
        return new WaitingCalls(Calls.PLAIN_SERVICE, rank, team, calls, sentCalls, sentWork);
    }

    private static RelayCall call(long number) {
        return Calls.call(number, Calls.route(CallKind.SAFE, false, 1, 1));
    }

    @Test
    void putsHigherRanksAndPoorerTeamsOfOtherProcessesFirst() {
        line.onOthers(
                List.of(
                        waiting(0, "shops", 3, 9, 900),
                        waiting(1, "shops", 5, 9, 1_000),
                        waiting(1, "poor", 7, 1, 100),
                        waiting(1, "alike", 11, 9, 985),
                        waiting(2, "low", 13, 0, 0)),
                0);

        assertThat(line.firstElsewhere(SHOPS, 0), is(10));
    }

    /** All of the own team's, and of each other team of the rank at most one more than those. */
    @Test
    void countsCallsThatOthersSendFirst() {
        line.onOthers(
                List.of(waiting(0, "x", 3, 0, 0), waiting(1, "shops", 4, 0, 0), waiting(1, "flood", 1_000, 0, 0)), 0);

        assertThat(line.aheadElsewhere(call(0), 0), is(3 + 4 + 5));
    }

    /** 40 calls of the rank and 60 above it within the time over which they are averaged. */
    @Test
    void countsOnlyTheRateThatHigherRanksLeave() {
        line.onOthers(List.of(waiting(0, "x", 1, 60, 60), waiting(1, "shops", 1, 40, 40)), 0);

        assertThat(line.sentPerSecond(1, 0), closeTo(40 / WaitingLine.RATE_SECONDS, 0.01));
        assertThat(line.sentPerSecond(2, 0), closeTo(20 / WaitingLine.RATE_SECONDS, 0.01));
    }

    @Test
    void takesItsShareOfTheFreePlacesOnceForEachNews() {
        line.onOthers(List.of(waiting(1, "shops", 9, 0, 0)), 0);

        assertThat(line.places(20, Map.of(SHOPS, 1), 0), is(2));
        line.onPlaceTaken();
        line.onPlaceTaken();
        assertThat(line.places(20, Map.of(SHOPS, 1), Calls.MILLI), is(0));
        line.onFreed();
        assertThat(line.places(20, Map.of(SHOPS, 1), Calls.MILLI), is(1));
    }

    /** The aggregator falls silent: the process goes on with its own view. */
    @Test
    void forgetsNewsThatAreTooOld() {
        line.onOthers(List.of(waiting(0, "shops", 9, 5, 5)), 0);

        assertThat(line.firstElsewhere(SHOPS, NEWS_EXPIRED), is(0));
        assertThat(line.places(20, Map.of(SHOPS, 1), NEWS_EXPIRED), is(20));
        assertThat(line.othersWait(NEWS_EXPIRED), is(false));
    }

    @Test
    void reportsNothingWhileNothingWaits() {
        line.onSent(call(1), 0);
        assertThat(line.report(Map.of(), 0), is(empty()));

        line.onOthers(List.of(waiting(0, "x", 1, 0, 0)), 0);
        assertThat(line.report(Map.of(), 0), hasSize(1));
        assertThat(line.report(Map.of(SHOPS, 2), 0).get(0).calls(), is(2));
    }
}
