package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class DemandMeterTest {
    private static final long TICK_MILLIS = 500;

    private final DemandMeter meter = new DemandMeter();
    private long units;
    private long nowMillis;

    private void advance(long millis, long unitsPerSecond) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            meter.onReading(units, nowMillis * Calls.MILLI);
            units += unitsPerSecond * TICK_MILLIS / 1_000;
            nowMillis += TICK_MILLIS;
        }
    }

    @Test
    void followsRiseWithinSeconds() {
        advance(6_000, 1_000);

        assertThat(meter.perSecond(), is(closeTo(1_000, 100)));
    }

    @Test
    void followsFallSlowly() {
        advance(10_000, 1_000);
        advance(4_000, 0);

        assertThat(meter.perSecond(), is(greaterThan(650.0)));
    }

    @Test
    void resetsBaselineWhenCountOfProcessDisappears() {
        advance(10_000, 1_000);
        double before = meter.perSecond();
        units = 0;
        meter.onReading(units, nowMillis * Calls.MILLI);

        assertThat(meter.perSecond(), is(before));
    }

    /** Usage by other processes during the gap is not part of the next reading. */
    @Test
    void keepsDemandWhileUsageIsUnknown() {
        advance(10_000, 1_000);
        double before = meter.perSecond();
        meter.onUnknown();
        nowMillis += 10_000;
        meter.onReading(units, nowMillis * Calls.MILLI);

        assertThat(meter.perSecond(), is(before));
    }
}
