package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StoreStalenessTest {
    private final StoreStaleness staleness = new StoreStaleness();

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private void upToDate(long fromMillis, long untilMillis) {
        for (long millis = fromMillis; millis <= untilMillis; millis += 300) {
            staleness.onUpToDate(at(millis));
        }
    }

    @Test
    void suspectsNoRestartWhileStoreIsUpToDate() {
        upToDate(0, 6_000);

        assertThat(staleness.mayHaveRestarted(at(5_900), at(6_100)), is(false));
    }

    @Test
    void suspectsNoRestartBeforeFirstUpdate() {
        assertThat(staleness.mayHaveRestarted(at(9_000), at(10_000)), is(false));
    }

    /** A server crashes as the store becomes unreachable, or several seconds before, and restarts unnoticed. */
    @Test
    void suspectsServersLostDuringStalePhaseOrShortlyBefore() {
        upToDate(0, 12_000);

        assertThat(staleness.isStale(at(13_400)), is(false));
        assertThat(staleness.isStale(at(13_500)), is(true));
        assertThat(staleness.mayHaveRestarted(at(13_000), at(14_000)), is(true));
        assertThat(staleness.mayHaveRestarted(at(5_000), at(14_000)), is(true));
        assertThat(staleness.mayHaveRestarted(at(1_000), at(14_000)), is(false));
    }

    @Test
    void suspectsRestartUntilEntriesAreRefreshed() {
        upToDate(0, 3_000);
        upToDate(8_000, 9_500);

        assertThat(staleness.mayHaveRestarted(at(4_000), at(9_500)), is(true));
        assertThat(staleness.mayHaveRestarted(at(4_000), at(9_600)), is(false));
    }
}
