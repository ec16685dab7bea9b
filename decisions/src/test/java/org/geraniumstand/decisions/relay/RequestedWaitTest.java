package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class RequestedWaitTest {
    private static final long TOTAL_MILLIS = 3_000;

    /** Guards against a call that is held at a limit until there is no time left for another try. */
    @Test
    void waitsAtALimitForLessThanHalfOfItsTime() {
        RequestedWait wait = new RequestedWait(700, 2);

        assertThat(wait.isTooLong(0, TOTAL_MILLIS, TOTAL_MILLIS), is(false));
        assertThat(wait.isTooLong(1, TOTAL_MILLIS, TOTAL_MILLIS), is(false));
        assertThat(wait.isTooLong(2, TOTAL_MILLIS, TOTAL_MILLIS), is(true));
        assertThat(wait.isTooLong(0, TOTAL_MILLIS, TOTAL_MILLIS - 501), is(true));
    }

    @Test
    void waitsForTheEndOfAPauseUntilItsDeadline() {
        RequestedWait wait = new RequestedWait(2_500, Double.POSITIVE_INFINITY);

        assertThat(wait.isTooLong(0, TOTAL_MILLIS, TOTAL_MILLIS), is(false));
        assertThat(wait.isTooLong(0, TOTAL_MILLIS, 2_499), is(true));
    }

    @Test
    void neverWaitsIfNoServerAsksForIt() {
        assertThat(RequestedWait.NONE.isTooLong(100, TOTAL_MILLIS, 1), is(false));
    }
}
