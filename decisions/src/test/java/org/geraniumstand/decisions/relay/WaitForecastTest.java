package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

final class WaitForecastTest {
    private final WaitForecast forecast = new WaitForecast();

    @Test
    void expectsNoWaitWhileThereIsRoom() {
        assertThat(forecast.waitMillis(3, 0), is(0L));
    }

    @Test
    void expectsNoWaitAtTheMomentTheServersAreFull() {
        forecast.onFull(0);

        assertThat(forecast.waitMillis(3, 0), is(0L));
    }

    @Test
    void countsThePlacesThatCameFree() {
        forecast.onFull(0);
        for (int i = 0; i < 10; i++) {
            forecast.onPlaced(1);
        }

        assertThat(forecast.waitMillis(0, 1_000 * Calls.MILLI), is(100L));
        assertThat(forecast.waitMillis(4, 1_000 * Calls.MILLI), is(500L));
    }

    @Test
    void expectsALongerWaitTheLongerNoPlaceComesFree() {
        forecast.onFull(0);

        assertThat(forecast.waitMillis(0, 500 * Calls.MILLI), is(500L));
        assertThat(forecast.waitMillis(1, 1_000 * Calls.MILLI), is(2_000L));
    }

    /** Half of the servers are lost at 4 s: places come every 50 ms before and every 200 ms after. */
    @Test
    void followsALossOfServersWithinSeconds() {
        forecast.onFull(0);
        long now = 0;
        for (int i = 0; i < 80; i++) {
            now += 50 * Calls.MILLI;
            forecast.onFull(now);
            forecast.onPlaced(1);
        }
        assertThat(forecast.waitMillis(0, now), lessThan(70L));
        for (int i = 0; i < 20; i++) {
            now += 200 * Calls.MILLI;
            forecast.onFull(now);
            forecast.onPlaced(1);
        }

        assertThat(forecast.waitMillis(0, now), greaterThan(130L));
    }

    @Test
    void forgetsOnceThereIsRoom() {
        forecast.onFull(0);
        forecast.onRoom();

        assertThat(forecast.waitMillis(5, 1_000 * Calls.MILLI), is(0L));
    }
}
