package org.geraniumstand.model.time;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class HybridTimeTest {
    @Test
    void nextAdoptsLaterWallClockAndResetsCounter() {
        assertThat(new HybridTime(5, 3).next(9), is(new HybridTime(9, 0)));
    }

    @Test
    void nextIncrementsCounterIfWallClockDoesNotAdvance() {
        assertThat(new HybridTime(5, 3).next(5), is(new HybridTime(5, 4)));
        assertThat(new HybridTime(5, 3).next(1), is(new HybridTime(5, 4)));
    }

    @Property(seed = "1")
    void eventAfterMessageHasLaterTimestampThanMessage(
            @ForAll @LongRange(min = 0, max = 100) long own,
            @ForAll @LongRange(min = 0, max = 100) long received,
            @ForAll @LongRange(min = 0, max = 100) long wall) {
        HybridTime message = new HybridTime(received, 2);

        assertThat(new HybridTime(own, 1).merge(message).next(wall), greaterThan(message));
    }
}
