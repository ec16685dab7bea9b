package org.geraniumstand.decisions.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class ColdServerDetectorTest {
    private static final ServerId SERVER = new ServerId("s");
    private static final double SLOW_RATIO = 5;
    private static final double NORMAL_RATIO = 1;
    private static final int STEP_MILLIS = 300;

    private final ColdServerDetector detector = new ColdServerDetector();

    @Test
    void serverThatStaysSlowIsDetectedAsCold() {
        assertThat(detects(SLOW_RATIO, SLOW_RATIO, SLOW_RATIO, SLOW_RATIO, SLOW_RATIO), is(true));
    }

    @Test
    void normalLatencyEndsSlowStreak() {
        assertThat(detects(SLOW_RATIO, SLOW_RATIO, SLOW_RATIO, NORMAL_RATIO, SLOW_RATIO), is(false));
    }

    @Test
    void shortSlowStreakIsIgnored() {
        assertThat(detects(SLOW_RATIO, SLOW_RATIO, SLOW_RATIO), is(false));
    }

    private boolean detects(double... ratios) {
        boolean cold = false;
        Timestamp now = new Timestamp(0, 0);
        for (double ratio : ratios) {
            cold = detector.onLatencyRatio(SERVER, ratio, NORMAL_RATIO, now);
            now = now.plus(Duration.ofMillis(STEP_MILLIS));
        }
        return cold;
    }
}
