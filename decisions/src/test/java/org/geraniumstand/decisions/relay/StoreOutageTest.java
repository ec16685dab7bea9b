package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StoreOutageTest {
    private final StoreOutage outage = new StoreOutage();

    /** A host that just started is short of processor time and one of its calls fails; a server leaves 2 s later. */
    @Test
    void singleFailureIsNoOutage() {
        assertThat(outage.onFailed(0), is(true));
        assertThat(outage.onAnswered(), is(true));

        assertThat(outage.mayHaveLapsed(2_000 * Calls.MILLI), is(false));
    }

    @Test
    void failuresWithAnswersBetweenAreNoOutage() {
        for (int i = 0; i < 10; i++) {
            outage.onFailed(i * 500L * Calls.MILLI);
            outage.onAnswered();
        }

        assertThat(outage.mayHaveLapsed(5_000 * Calls.MILLI), is(false));
    }

    /** The store is away for 4.5 s, in which the entries of all servers lapse. */
    @Test
    void entriesMayLapseInALongOutageAndSoonAfter() {
        for (int i = 0; i < 9; i++) {
            outage.onFailed(i * 500L * Calls.MILLI);
        }
        assertThat(outage.mayHaveLapsed(4_500 * Calls.MILLI), is(true));
        outage.onAnswered();
        assertThat(outage.mayHaveLapsed(7_000 * Calls.MILLI), is(true));

        assertThat(outage.mayHaveLapsed(9_000 * Calls.MILLI), is(false));
    }

    @Test
    void believesAPeerThatSawOne() {
        outage.onToldOfOutage(0);

        assertThat(outage.mayHaveLapsed(1_000 * Calls.MILLI), is(true));
    }
}
