package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StoreSilenceTest {
    private final StoreSilence silence = new StoreSilence();

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private void informed(long fromMillis, long untilMillis) {
        for (long millis = fromMillis; millis <= untilMillis; millis += 300) {
            silence.onInformed(at(millis));
        }
    }

    @Test
    void suspectsNothingWhileTheStoreIsHeardOf() {
        informed(0, 6_000);

        assertThat(silence.mayHaveStarted(at(5_900), at(6_100)), is(false));
    }

    @Test
    void suspectsNothingBeforeTheStoreWasEverHeardOf() {
        assertThat(silence.mayHaveStarted(at(9_000), at(10_000)), is(false));
    }

    /** A server crashes as the store goes away, or some seconds before, and starts again unseen. */
    @Test
    void suspectsServersThatWereLostInASilenceOrShortlyBefore() {
        informed(0, 12_000);

        assertThat(silence.silent(at(13_400)), is(false));
        assertThat(silence.silent(at(13_500)), is(true));
        assertThat(silence.mayHaveStarted(at(13_000), at(14_000)), is(true));
        assertThat(silence.mayHaveStarted(at(5_000), at(14_000)), is(true));
        assertThat(silence.mayHaveStarted(at(1_000), at(14_000)), is(false));
    }

    @Test
    void suspectsThemUntilTheirEntriesHadTimeToBeWritten() {
        informed(0, 3_000);
        informed(8_000, 9_500);

        assertThat(silence.mayHaveStarted(at(4_000), at(9_500)), is(true));
        assertThat(silence.mayHaveStarted(at(4_000), at(9_600)), is(false));
    }
}
