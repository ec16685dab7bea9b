package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

final class DutySeekingTest {
    private static final int PROCESSES = 78;
    private static final long DAY_MILLIS = 50_000;

    /** A day of many processes that all know who holds the duty. */
    @Test
    void looksOfManyProcessesStayFew() {
        double looks = 0;
        for (int i = 0; i < PROCESSES; i++) {
            looks += (double) DAY_MILLIS / DutySeeking.lookMillis(i < 2, (double) i / PROCESSES);
        }

        assertThat(looks, lessThan(8.0 * PROCESSES));
    }

    /** The holder is killed; the first take the duty well before a report is due. */
    @Test
    void theFirstTakeItAtOnce() {
        assertThat(DutySeeking.waitMillis(true, 1), lessThanOrEqualTo(300L));
        assertThat(DutySeeking.lookMillis(true, 1), lessThan(3_000L));
    }

    @Test
    void theOthersWaitUntilTheFirstHadTime() {
        assertThat(DutySeeking.waitMillis(false, 0), greaterThan(DutySeeking.waitMillis(true, 1)));
    }

    /** The first are cut off from the store, so one of the others has to take it before a report is due. */
    @Test
    void theOthersTakeItBeforeAReportIsDue() {
        assertThat(DutySeeking.lookMillis(false, 1) + DutySeeking.waitMillis(false, 0), lessThan(15_000L));
    }
}
