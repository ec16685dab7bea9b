package org.geraniumstand.decisions.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Moment;
import org.junit.jupiter.api.Test;

final class ColdSuspicionTest {
    private static final ServerId SERVER = new ServerId("s");
    private static final double COLD = 5;
    private static final double USUAL = 1;
    private static final int STEP_MILLIS = 300;

    private final ColdSuspicion suspicion = new ColdSuspicion();

    @Test
    void suspectsAServerThatStaysSlow() {
        assertThat(run(COLD, COLD, COLD, COLD, COLD), is(true));
    }

    @Test
    void oneGoodAnswerEndsAStreak() {
        assertThat(run(COLD, COLD, COLD, USUAL, COLD), is(false));
    }

    @Test
    void shortStreakMeansNothing() {
        assertThat(run(COLD, COLD, COLD), is(false));
    }

    private boolean run(double... ratios) {
        boolean cold = false;
        Moment now = new Moment(0, 0);
        for (double ratio : ratios) {
            cold = suspicion.onRatio(SERVER, ratio, USUAL, now);
            now = now.plus(Duration.ofMillis(STEP_MILLIS));
        }
        return cold;
    }
}
