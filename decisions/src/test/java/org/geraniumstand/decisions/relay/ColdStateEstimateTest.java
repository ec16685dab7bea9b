package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class ColdStateEstimateTest {
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long SECOND = 1_000 * Calls.MILLI;

    private final StoreStaleness storeStaleness = new StoreStaleness();
    private final ColdStateEstimate coldState = new ColdStateEstimate(storeStaleness, 0);

    private long remainingColdMillis(long nowNanos) {
        return coldState.remainingColdNanos(WARM_UP_MILLIS, nowNanos) / Calls.MILLI;
    }

    @Test
    void isWarmUnlessEntryReportsCold() {
        assertThat(remainingColdMillis(0), is(0L));

        coldState.onListed(2_000, SECOND);
        assertThat(remainingColdMillis(2 * SECOND), is(1_000L));
        assertThat(remainingColdMillis(3 * SECOND), is(0L));
    }

    /** The entry of a server in a data centre that returns to service may be one heartbeat old. */
    @Test
    void isColdAfterDataCentreReturnsDespiteWarmEntry() {
        coldState.onListed(0, 0);
        coldState.onDataCentreRestored(10 * SECOND);

        assertThat(remainingColdMillis(10 * SECOND), is(WARM_UP_MILLIS));
        assertThat(coldState.listedCold(10 * SECOND), is(false));
        assertThat(remainingColdMillis(13 * SECOND), is(0L));
    }

    /** The server crashes and restarts under the same name while the view of the store is stale. */
    @Test
    void isColdAfterLossWhileStoreIsStale() {
        storeStaleness.onUpToDate(0);
        coldState.onLost(2 * SECOND);

        assertThat(remainingColdMillis(3 * SECOND), is(WARM_UP_MILLIS));
    }

    @Test
    void isWarmOnceEntryChangesAfterLoss() {
        storeStaleness.onUpToDate(0);
        coldState.onLost(2 * SECOND);
        coldState.onEntryChanged(2 * SECOND);

        assertThat(remainingColdMillis(3 * SECOND), is(0L));
    }

    /** A busy server refuses connections and answers again before the store becomes unreachable. */
    @Test
    void isWarmIfServerAnsweredAfterLossAndBeforeStoreWasStale() {
        storeStaleness.onUpToDate(0);
        coldState.onLost(SECOND / 2);
        coldState.onAnswered(SECOND);

        assertThat(remainingColdMillis(3 * SECOND), is(0L));
    }

    @Test
    void isWarmIfEntryIsNewerThanReportedLoss() {
        storeStaleness.onUpToDate(0);
        coldState.onEntryChanged(SECOND);
        coldState.onLostByAnyProcess(SECOND / 2);

        assertThat(remainingColdMillis(3 * SECOND), is(0L));
    }

    @Test
    void isWarmAfterLossWhileStoreIsUpToDate() {
        for (long millis = 0; millis <= 3_000; millis += 300) {
            storeStaleness.onUpToDate(millis * Calls.MILLI);
        }
        coldState.onLost(2 * SECOND);

        assertThat(remainingColdMillis(3 * SECOND), is(0L));
    }
}
