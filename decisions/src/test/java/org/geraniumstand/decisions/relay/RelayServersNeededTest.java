package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.id.ServiceId;
import org.junit.jupiter.api.Test;

final class RelayServersNeededTest {
    private static final ServiceId MODEL = new ServiceId("model");
    private static final int DATA_CENTRES = 3;

    private final RelayServersNeeded needed = new RelayServersNeeded();

    private double processedPerSecond = 94_000;
    private double allowedPerSecond = Double.POSITIVE_INFINITY;

    private int decide(double tokensPerSecond, int found, long atMillis) {
        needed.onDemand(tokensPerSecond, atMillis * Calls.MILLI);
        return needed.decide(
                MODEL,
                tokensPerSecond,
                processedPerSecond,
                found,
                allowedPerSecond,
                DATA_CENTRES,
                atMillis * Calls.MILLI);
    }

    /** The entries of 19 servers arrive while the process starts; callers arrive 11 s later. */
    @Test
    void keepsAllServersFoundUntilFirstDemand() {
        decide(0, 8, 0);
        decide(0, 19, 500);

        assertThat(decide(0, 3, 11_000), is(19));
    }

    @Test
    void keepsNoMoreServersThanQuotasAllow() {
        allowedPerSecond = 600_000;

        assertThat(decide(0, 19, 0), is(11));
    }

    @Test
    void keepsServersFoundUntilDemandIsMeasured() {
        decide(16_000, 35, 0);

        assertThat(decide(900_000, 0, 4_000), is(35));
        assertThat(decide(900_000, 0, 5_500), is(16));
    }

    @Test
    void followsDemandOnceMeasured() {
        decide(0, 19, 0);
        decide(90_000, 19, 1_000);

        assertThat(decide(360_000, 19, 6_500), is(7));
    }

    @Test
    void followsHigherDemandImmediately() {
        decide(0, 3, 0);

        assertThat(decide(900_000, 3, 100), is(16));
    }

    /** Engines that read prompts at two fifths of the pace were ordered as if they were fast: 16 where 39 were needed. */
    @Test
    void needsMoreOfSlowerServers() {
        processedPerSecond = 38_000;
        decide(900_000, 0, 0);

        assertThat(decide(900_000, 0, 6_000), is(39));
    }

    @Test
    void needsAtLeastOnePerDataCentreAndOneSpare() {
        decide(1, 0, 0);

        assertThat(decide(1, 0, 6_000), is(DATA_CENTRES + 1));
    }
}
