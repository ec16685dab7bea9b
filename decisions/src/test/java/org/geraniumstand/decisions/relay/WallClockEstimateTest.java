package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class WallClockEstimateTest {
    private static final long EPOCH = 1_000_000;

    private final WallClockEstimate estimate = new WallClockEstimate();

    private long read(long monotonicMillis, long jumpMillis) {
        return estimate.read(
                new Timestamp(monotonicMillis * Timestamp.NANOS_PER_MILLI, EPOCH + monotonicMillis + jumpMillis));
    }

    @Test
    void adoptsFirstReading() {
        assertThat(read(0, 0), is(EPOCH));
    }

    @Test
    void ignoresJumpThatIsReverted() {
        read(0, 0);
        for (long at = 1_000; at < 7_000; at += 250) {
            assertThat(read(at, 2_400), is(EPOCH + at));
        }
        assertThat(read(7_000, 0), is(EPOCH + 7_000));
    }

    @Test
    void adoptsJumpThatPersists() {
        read(0, 0);
        for (long at = 1_000; at < 10_000; at += 250) {
            read(at, 2_400);
        }

        assertThat(read(10_000, 2_400), is(EPOCH + 12_400));
    }

    @Test
    void followsSmallDrift() {
        read(0, 0);

        assertThat(read(1_000, 20), is(EPOCH + 1_020));
    }
}
