package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.api.Test;

final class ColdPaceTest {
    private static final ServerId SERVER = new ServerId("s");

    @Test
    void allowsTheFirst() {
        assertThat(new ColdPace().allows(SERVER, 0), is(true));
    }

    @Test
    void holdsTheNextBackFromTheSameServerOnly() {
        ColdPace pace = new ColdPace();
        pace.onSent(SERVER, 10, 1, 0);

        assertThat(pace.allows(SERVER, 50 * Calls.MILLI), is(false));
        assertThat(pace.allows(new ServerId("t"), 50 * Calls.MILLI), is(true));
    }

    /** A wave of calls meets a cold server through seven processes. */
    @Test
    void keepsSevenProcessesWithinWhatTheServerBears() {
        int sent = 0;
        for (int process = 0; process < 7; process++) {
            ColdPace pace = new ColdPace();
            for (long at = 0; at < 1_000; at++) {
                if (pace.allows(SERVER, at * Calls.MILLI)) {
                    pace.onSent(SERVER, 17, 7, at * Calls.MILLI);
                    sent++;
                }
            }
        }

        assertThat(sent, lessThanOrEqualTo((int) (17 * 1.5 + 5)));
        assertThat(sent, greaterThan(7));
    }
}
