package org.geraniumstand.decisions.moves;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.Random;
import org.junit.jupiter.api.Test;

final class SequentialTestTest {
    private static final double PERMITTED = 0.01;

    private final SequentialTest test = new SequentialTest();

    @Test
    void consecutiveFailuresReachThreshold() {
        test.add(4, 4, PERMITTED);

        assertThat(test.level(), greaterThanOrEqualTo(1.0));
    }

    @Test
    void singleFailureStaysBelowThreshold() {
        test.add(1, 1, PERMITTED);

        assertThat(test.level(), lessThan(1.0));
    }

    @Test
    void detectsChangeAfterManySuccesses() {
        test.add(100_000, 100, PERMITTED);
        test.add(20, 10, PERMITTED);

        assertThat(test.level(), greaterThanOrEqualTo(1.0));
    }

    @Test
    void permittedRateRarelyReachesThreshold() {
        Random random = new Random(5);
        int alarms = 0;
        for (int run = 0; run < 100; run++) {
            SequentialTest sequence = new SequentialTest();
            boolean alarm = false;
            for (int i = 0; i < 2_000; i++) {
                sequence.add(1, random.nextDouble() < PERMITTED ? 1 : 0, PERMITTED);
                alarm |= sequence.level() >= 1;
            }
            alarms += alarm ? 1 : 0;
        }

        assertThat(alarms, lessThan(3));
    }
}
