package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.geraniumstand.decisions.relay.ReportContinuity.Marker;
import org.geraniumstand.decisions.relay.ReportContinuity.Renewal;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class ReportContinuityTest {
    private static final long WINDOW_MILLIS = 5_000;
    private static final long SUM_AFTER_MILLIS = 2_200;
    private static final long LEASE_RESERVE_MILLIS = 600;
    private static final long FIRST = 1_000;
    private static final long START_MILLIS = FIRST * WINDOW_MILLIS;

    private final ReportContinuity continuity =
            new ReportContinuity(WINDOW_MILLIS, SUM_AFTER_MILLIS, LEASE_RESERVE_MILLIS);

    private static Timestamp at(long millis) {
        return new Timestamp(millis * Timestamp.NANOS_PER_MILLI, START_MILLIS + millis);
    }

    /** Makes this process the leader in era 4, in which all windows from the first one on may be reported. */
    private void lead(long millis) {
        continuity.onEra(4, at(0));
        continuity.onLeading(7, at(millis));
        continuity.onMarker(new Marker(4, FIRST));
    }

    private static Renewal renewal(long era, long firstWindow, Map<Long, String> records) {
        return new Renewal(new Marker(era, firstWindow), new TreeMap<>(records));
    }

    @Test
    void allowsEveryWindowWhenTheStoreStatesNoEra() {
        continuity.onLeading(7, at(0));

        assertThat(continuity.firstWindow(at(0)), is(Optional.of(0L)));
        assertThat(continuity.awaitsMarker(), is(false));
    }

    @Test
    void reportsNothingUntilTheMarkerIsOfTheLatestEra() {
        continuity.onEra(4, at(0));
        continuity.onLeading(7, at(2_000));
        assertThat(continuity.awaitsMarker(), is(true));
        assertThat(continuity.onMarker(new Marker(3, FIRST)), is(false));
        assertThat(continuity.firstWindow(at(2_000)), is(Optional.empty()));
        assertThat(continuity.onMarker(new Marker(4, FIRST)), is(true));

        assertThat(continuity.firstWindow(at(3_500)), is(Optional.of(FIRST)));
    }

    /** Its predecessor may write its records again after a restoration for as long. */
    @Test
    void newLeaderReportsNothingAtFirst() {
        lead(2_000);

        assertThat(continuity.firstWindow(at(3_499)), is(Optional.empty()));
        assertThat(continuity.firstWindow(at(3_500)), is(Optional.of(FIRST)));
    }

    /** The other processes must have written the counts again that the copy lacks. */
    @Test
    void reportsNothingRightAfterARestoration() {
        lead(0);
        continuity.onEra(5, at(6_000));
        continuity.onLeading(9, at(6_000));
        continuity.onMarker(new Marker(5, FIRST));

        assertThat(continuity.firstWindow(at(7_400)), is(Optional.empty()));
        assertThat(continuity.firstWindow(at(7_500)), is(Optional.of(FIRST)));
    }

    @Test
    void leaderThroughoutWritesItsRecordsAgain() {
        lead(0);
        continuity.onRecord(FIRST, "totals");
        continuity.onLeading(7, at(9_000));
        assertThat(continuity.onEra(5, at(11_099)), is(true));

        assertThat(
                continuity.renewal(new Marker(3, FIRST), at(11_099)),
                is(Optional.of(renewal(5, FIRST, Map.of(FIRST, "totals")))));
    }

    @Test
    void processThatWasNotLeaderUpToTheRestorationWritesNothing() {
        lead(0);
        continuity.onRecord(FIRST, "totals");
        continuity.onLeading(7, at(9_000));
        continuity.onEra(5, at(11_100));

        assertThat(continuity.awaitsMarker(), is(false));
        assertThat(continuity.renewal(Marker.NONE, at(20_000)), is(Optional.empty()));
    }

    @Test
    void processThatResignedWritesNothing() {
        lead(0);
        continuity.onLeadershipLost();
        continuity.onEra(5, at(100));

        assertThat(continuity.awaitsMarker(), is(false));
    }

    /** Another leader may have reported in the era that this process missed. */
    @Test
    void leaderThatMissedAnEraWritesNothing() {
        lead(0);
        continuity.onEra(6, at(100));

        assertThat(continuity.awaitsMarker(), is(false));
    }

    /** The records of the era were not complete. */
    @Test
    void leaderWithoutMarkerWritesNothingAfterASecondRestoration() {
        lead(0);
        continuity.onEra(5, at(100));
        continuity.onLeading(9, at(200));
        continuity.onEra(6, at(300));

        assertThat(continuity.awaitsMarker(), is(false));
    }

    /** The window was due before this process became leader, which had not read its record yet. */
    @Test
    void leaderWithholdsWindowThatItsPredecessorMayHaveReported() {
        lead(WINDOW_MILLIS + SUM_AFTER_MILLIS);
        continuity.onEra(5, at(WINDOW_MILLIS + SUM_AFTER_MILLIS + 100));

        assertThat(continuity.renewal(Marker.NONE, at(8_000)), is(Optional.of(renewal(5, FIRST + 1, Map.of()))));
    }

    @Test
    void leaderDoesNotWithholdWindowThatHadNoRecordWhileItLed() {
        lead(WINDOW_MILLIS + SUM_AFTER_MILLIS);
        continuity.onUnrecorded(FIRST);
        continuity.onEra(5, at(WINDOW_MILLIS + SUM_AFTER_MILLIS + 100));

        assertThat(continuity.renewal(Marker.NONE, at(8_000)), is(Optional.of(renewal(5, FIRST, Map.of()))));
    }

    @Test
    void nextLeaderWithholdsWindowsDueBeforeTheRestorationIfNobodyRemembers() {
        continuity.onEra(5, at(WINDOW_MILLIS + SUM_AFTER_MILLIS));
        continuity.onLeading(9, at(8_000));
        assertThat(continuity.renewal(new Marker(4, 7), at(10_100)), is(Optional.empty()));

        assertThat(continuity.renewal(new Marker(4, 7), at(10_200)), is(Optional.of(renewal(5, FIRST + 1, Map.of()))));
    }

    @Test
    void nextLeaderDoesNotWithholdWindowThatWasNotDueAtTheRestoration() {
        continuity.onEra(5, at(WINDOW_MILLIS + SUM_AFTER_MILLIS - 200));
        continuity.onLeading(9, at(8_000));

        assertThat(continuity.renewal(new Marker(4, 7), at(10_200)), is(Optional.of(renewal(5, FIRST, Map.of()))));
    }

    /** Beyond the number of records that one write takes, the oldest windows are withheld. */
    @Test
    void writesTheLatestRecordsThatFitIntoOneWrite() {
        lead(0);
        for (long window = FIRST; window < FIRST + 15; window++) {
            continuity.onRecord(window, "totals");
        }
        continuity.onEra(5, at(100));
        Renewal renewal = continuity.renewal(Marker.NONE, at(100)).orElseThrow();

        assertThat(renewal.marker(), is(new Marker(5, FIRST + 1)));
        assertThat(renewal.records().size(), is(14));
    }

    /** The window was reported 7.2 s after its start; the leader starts 9 s after it, with a clock that is 6 s slow. */
    @Test
    void withholdsReportedWindowsIfTheClockOfAStartingLeaderIsSlow() {
        long reported = 1_000;
        long windowMillis = 5_000;
        ReportContinuity starting = new ReportContinuity(windowMillis, 2_200, 600);
        WallClockEstimate wallClock = new WallClockEstimate();
        LongFunction<Timestamp> slowClock = millis -> {
            long nanos = millis * Timestamp.NANOS_PER_MILLI;
            long slowMillis = reported * windowMillis + millis - 6_000;
            return new Timestamp(nanos, wallClock.read(new Timestamp(nanos, slowMillis)));
        };
        starting.onEra(5, slowClock.apply(9_000));
        starting.onLeading(9, slowClock.apply(10_000));

        Marker renewed = starting.renewal(new Marker(4, 7), slowClock.apply(12_100))
                .orElseThrow()
                .marker();

        assertThat(renewed.firstWindow(), is(reported + 1));
    }
}
