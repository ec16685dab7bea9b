package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;

final class CrashSuspicionTest {
    private static final OptionalLong BEGAN = OptionalLong.of(0);

    private static boolean isSuspect(AttemptEnd end, OptionalLong began, long millis) {
        return CrashSuspicion.isSuspect(end, began, millis * Calls.MILLI);
    }

    @Test
    void suspectsAnswerThatBreaksAsItBegins() {
        assertThat(isSuspect(AttemptEnd.BROKEN, BEGAN, 100), is(true));
    }

    @Test
    void clearsAnswerThatBreaksLater() {
        assertThat(isSuspect(AttemptEnd.BROKEN, BEGAN, 600), is(false));
    }

    @Test
    void clearsRequestThatStillWaited() {
        assertThat(isSuspect(AttemptEnd.BROKEN, OptionalLong.empty(), 100), is(false));
    }

    @Test
    void clearsAnswerThatEndsInAnyOtherWay() {
        for (AttemptEnd end : AttemptEnd.values()) {
            if (end != AttemptEnd.BROKEN) {
                assertThat(isSuspect(end, BEGAN, 100), is(false));
            }
        }
    }
}
