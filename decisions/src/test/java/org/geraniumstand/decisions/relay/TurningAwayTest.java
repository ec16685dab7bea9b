package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class TurningAwayTest {
    @Test
    void refusesWhatWouldWaitBeyondItsDeadline() {
        assertThat(TurningAway.isHopeless(1_001, 1_000, false), is(true));
        assertThat(TurningAway.isHopeless(1_000, 1_000, false), is(false));
    }

    /** A refusal would lose the part of the answer that the caller has. */
    @Test
    void keepsRelayedCallToItsDeadline() {
        assertThat(TurningAway.isHopeless(1_001, 1_000, true), is(false));
        assertThat(TurningAway.isHopeless(0, 0, true), is(true));
    }

    @Property
    void returnIsUsefulToItsCaller(
            @ForAll String attempt,
            @ForAll @LongRange(min = 0, max = 10_000_000) long lineMillis,
            @ForAll @LongRange(min = 600, max = 600_000) long remainingMillis) {
        assertThat(
                TurningAway.returnMillis(attempt, lineMillis, remainingMillis), lessThanOrEqualTo(remainingMillis / 3));
    }

    /** 100 callers are refused together while the line takes a second. */
    @Test
    void spreadsReturnsOverTheTimeOfTheLine() {
        Set<Long> times = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            long millis = TurningAway.returnMillis("attempt-" + i, 1_000, 30_000);
            assertThat(millis, greaterThanOrEqualTo(1_000L));
            assertThat(millis, lessThanOrEqualTo(2_000L));
            times.add(millis / 50);
        }

        assertThat(times.size(), greaterThan(15));
    }
}
