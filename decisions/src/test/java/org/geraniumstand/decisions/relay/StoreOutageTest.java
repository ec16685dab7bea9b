package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StoreOutageTest {
    private static final StoreBounds BOUNDS = new StoreBounds(3_000, 4_000);

    private final StoreOutage outage = new StoreOutage(BOUNDS, 0);

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    /** Records calls that fail immediately, one every 500 ms. */
    private void failRepeatedly(long fromMillis, long untilMillis) {
        for (long millis = fromMillis; millis < untilMillis; millis += 500) {
            outage.onFailed(at(millis), at(millis));
        }
    }

    /**
     * A host that has just started is short of processor time and one of its calls fails; a server shuts down 2 s
     * later.
     */
    @Test
    void singleFailureIsNotAnOutage() {
        outage.onFailed(at(0), at(10));
        outage.onReached(at(20));

        assertThat(outage.gracePeriodMillis(at(2_000)), is(0L));
    }

    /** The store was away for half a second, and servers that started since the copy was made are missing in it. */
    @Test
    void keepsEntriesForTwoSecondsAfterARestorationHoweverShortTheStoreWasAway() {
        outage.onFailed(at(4_000), at(4_010));
        outage.onRestored(at(4_500));
        outage.onReached(at(4_500));

        assertThat(outage.gracePeriodMillis(at(4_500)), is(2_000L));
        assertThat(outage.gracePeriodMillis(at(6_500)), is(0L));
    }

    /** A process that was cut off learns of the restoration late, when live servers have long written again. */
    @Test
    void restorationKeepsEntriesOnlyUntilContactTimeAfterTheLastFailedCall() {
        outage.onFailed(at(4_000), at(5_500));
        outage.onRestored(at(6_500));
        outage.onReached(at(6_500));

        assertThat(outage.gracePeriodMillis(at(6_500)), is(1_500L));
    }

    @Test
    void failuresBetweenAnswersAreNotAnOutage() {
        for (int i = 0; i < 10; i++) {
            outage.onFailed(at(i * 500L), at(i * 500L));
            outage.onReached(at(i * 500L));
        }

        assertThat(outage.gracePeriodMillis(at(5_000)), is(0L));
    }

    /** The store is unreachable for 4.5 s, in which the entries of all servers expire. */
    @Test
    void keepsEntriesInLongOutageAndForTwoSecondsAfter() {
        failRepeatedly(0, 4_500);
        assertThat(outage.gracePeriodMillis(at(4_500)), greaterThan(0L));
        outage.onReached(at(4_600));

        assertThat(outage.gracePeriodMillis(at(4_600)), is(2_000L));
        assertThat(outage.gracePeriodMillis(at(6_500)), is(100L));
        assertThat(outage.gracePeriodMillis(at(6_600)), is(0L));
        assertThat(outage.gracePeriodMillis(at(60_000)), is(0L));
    }

    @Test
    void gracePeriodDoesNotExceedDrainTime() {
        StoreOutage shortDrain = new StoreOutage(new StoreBounds(1_200, 4_000), 0);
        shortDrain.onFailed(at(0), at(0));
        shortDrain.onFailed(at(2_000), at(2_000));
        shortDrain.onReached(at(3_000));

        assertThat(shortDrain.gracePeriodMillis(at(3_000)), is(1_000L));
    }

    /** The call that timed out was made at 2,000 ms, so the store may have recovered any time after that. */
    @Test
    void limitsGracePeriodToContactTimeAfterLastFailedCall() {
        outage.onFailed(at(0), at(1_500));
        outage.onFailed(at(2_000), at(3_500));
        outage.onReached(at(4_500));

        assertThat(outage.gracePeriodMillis(at(4_500)), is(1_500L));
    }

    /**
     * One process is partitioned from the store, or its connection has stalled, while a peer still reports what it
     * reads.
     */
    @Test
    void failuresWhilePeerReachesStoreAreNotAnOutage() {
        for (long millis = 0; millis < 6_000; millis += 300) {
            outage.onFailed(at(millis - 1_500), at(millis));
            outage.onReached(at(millis + 1));
        }

        assertThat(outage.gracePeriodMillis(at(6_000)), is(0L));
    }

    /** Both reader processes are killed; the others read the store directly and get answers. */
    @Test
    void missingPeerReportsAreNotAnOutage() {
        outage.onReached(at(0));
        outage.onReached(at(1_800));

        assertThat(outage.gracePeriodMillis(at(1_800)), is(0L));
    }

    /** An unresponsive store lets the first call hang until it times out. */
    @Test
    void countsFromStartOfFirstFailedCall() {
        outage.onReached(at(0));

        assertThat(outage.onFailed(at(1_200), at(2_700)), is(true));
    }
}
