package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class ColdBeliefTest {
    private static final long START_MILLIS = 3_000;
    private static final long SECOND = 1_000 * Calls.MILLI;

    private final StoreSilence silence = new StoreSilence();
    private final ColdBelief belief = new ColdBelief(silence, 0);

    private long leftMillis(long nowNanos) {
        return belief.leftNanos(START_MILLIS, nowNanos) / Calls.MILLI;
    }

    @Test
    void isWarmUnlessItsEntrySaysOtherwise() {
        assertThat(leftMillis(0), is(0L));

        belief.onListed(2_000, SECOND);
        assertThat(leftMillis(2 * SECOND), is(1_000L));
        assertThat(leftMillis(3 * SECOND), is(0L));
    }

    /** The entry of a server in a data centre that is taken back in may be a heartbeat old. */
    @Test
    void isColdAfterItsDataCentreIsTakenBackInWhateverItsEntrySaid() {
        belief.onListed(0, 0);
        belief.onTakenBackIn(10 * SECOND);

        assertThat(leftMillis(10 * SECOND), is(START_MILLIS));
        assertThat(belief.listed(10 * SECOND), is(false));
        assertThat(leftMillis(13 * SECOND), is(0L));
    }

    /** Nobody hears of the store while the server crashes and starts again under its name. */
    @Test
    void isColdAfterItWasLostWhileTheStoreIsSilent() {
        silence.onInformed(0);
        belief.onLost(2 * SECOND);

        assertThat(leftMillis(3 * SECOND), is(START_MILLIS));
    }

    @Test
    void isWarmOnceItsEntrySaysSomethingNew() {
        silence.onInformed(0);
        belief.onLost(2 * SECOND);
        belief.onNews(2 * SECOND);

        assertThat(leftMillis(3 * SECOND), is(0L));
    }

    /** Refused connections of a busy server before the store went away. */
    @Test
    void isWarmIfItAnsweredAfterItWasLostAndBeforeTheStoreWasSilent() {
        silence.onInformed(0);
        belief.onLost(SECOND / 2);
        belief.onAnswered(SECOND);

        assertThat(leftMillis(3 * SECOND), is(0L));
    }

    @Test
    void isWarmIfItsEntryIsNewerThanALossThatIsTold() {
        silence.onInformed(0);
        belief.onNews(SECOND);
        belief.onLostByAny(SECOND / 2);

        assertThat(leftMillis(3 * SECOND), is(0L));
    }

    @Test
    void isWarmAfterItWasLostWhileTheStoreIsHeardOf() {
        for (long millis = 0; millis <= 3_000; millis += 300) {
            silence.onInformed(millis * Calls.MILLI);
        }
        belief.onLost(2 * SECOND);

        assertThat(leftMillis(3 * SECOND), is(0L));
    }
}
