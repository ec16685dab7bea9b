package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Random;
import org.junit.jupiter.api.Test;

final class SlownessForecastTest {
    private final SlownessForecast forecast = new SlownessForecast();

    /** Hosts draw their pace anew at random moments, and state it every 10 to 500 ms. */
    private void state(double meanHoldMillis) {
        Random random = new Random(1);
        for (int host = 0; host < 30; host++) {
            double before = 1;
            double slowness = 1;
            for (int i = 0; i < 200; i++) {
                double elapsed = 10 + random.nextInt(490);
                if (random.nextDouble() > Math.exp(-elapsed / meanHoldMillis)) {
                    slowness = random.nextInt(100) < 15 ? 2.5 : 1;
                }
                forecast.onStated(slowness);
                forecast.onStatedAgain(before, slowness, elapsed);
                before = slowness;
            }
        }
    }

    @Test
    void fewStatementsAreTakenForUsual() {
        forecast.onStated(2.5);

        assertThat(forecast.mean(), lessThan(1.2));
    }

    @Test
    void newsLosesItsWeightWithAge() {
        state(600);

        assertThat(forecast.expected(2.5, 0), is(closeTo(2.5, 0.01)));
        assertThat(forecast.expected(2.5, 100), greaterThan(2.0));
        assertThat(forecast.expected(2.5, 5_000), is(closeTo(forecast.mean(), 0.05)));
        assertThat(forecast.expected(1, 5_000), is(closeTo(forecast.mean(), 0.05)));
        assertThat(forecast.mean(), is(closeTo(1.22, 0.1)));
    }

    @Test
    void learnsForHowLongNewsHolds() {
        state(1_500);
        assertThat(forecast.holdMillis(), is(closeTo(1_500, 600)));

        state(100);
        assertThat(forecast.holdMillis(), is(closeTo(100, 50)));
    }
}
