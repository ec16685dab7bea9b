package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Random;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.Test;

final class ServiceSpeedTest {
    private ServiceSpeed speed = new ServiceSpeed();
    private final Random random = new Random(1);
    private long now;

    private static Matcher<Double> within(double expected, double factor) {
        return both(greaterThan(expected / factor)).and(lessThan(expected * factor));
    }

    private void answerEngines(int count, double tokenMillis, double runningMillis) {
        for (int i = 0; i < count; i++) {
            int tokens = 300 + random.nextInt(6_000);
            int running = random.nextInt(20);
            double millis = 30 + tokens * tokenMillis + running * runningMillis;
            // Unknown calls of others lengthen two in five answers.
            double waited = random.nextInt(5) < 2 ? millis * random.nextDouble() * 4 : 0;
            double slowness = random.nextInt(100) < 15 ? 2.5 : 1;
            speed.onFirstToken(tokens, running, slowness, (millis + waited) * slowness, now);
            now += 250 * Calls.MILLI;
        }
    }

    private void answerPlain(int count, double workMillis) {
        for (int i = 0; i < count; i++) {
            double waited = random.nextInt(5) < 2 ? workMillis * random.nextDouble() * 4 : 0;
            speed.onPlainAnswer(1, 1, workMillis * (0.9 + 0.2 * random.nextDouble()) + waited, now);
            now += 250 * Calls.MILLI;
        }
    }

    @Test
    void learnsTimeOfTokensAtSlowAndFastEngines() {
        for (double tokenMillis : new double[] {0.004, 0.025, 0.2}) {
            speed = new ServiceSpeed();
            answerEngines(400, tokenMillis, 0.3);

            assertThat(speed.prefillMillisPerToken(), is(within(tokenMillis, 1.4)));
        }
    }

    @Test
    void firstAnswersReplaceTheAssumptions() {
        answerPlain(1, 400);
        assertThat(speed.plainCallMillis(), is(within(400, 5)));

        answerPlain(15, 400);
        assertThat(speed.plainCallMillis(), is(within(400, 1.4)));
    }

    @Test
    void unknownWaitsOfTwoInFiveAnswersChangeLittle() {
        answerPlain(200, 20);

        assertThat(speed.plainCallMillis(), is(closeTo(20, 4)));
    }

    @Test
    void oldAnswersGiveWay() {
        answerPlain(1_000, 20);
        now += 120_000 * Calls.MILLI;
        answerPlain(10, 80);

        assertThat(speed.plainCallMillis(), is(within(80, 1.6)));
    }

    @Test
    void oneAbsurdAnswerDoesNotSpoilTheFigures() {
        answerEngines(100, 0.025, 0.3);
        double before = speed.prefillMillisPerToken();
        speed.onFirstToken(5_000, 1, 1, 1e12, now);
        speed.onFirstToken(0, 0, 1, 0, now);

        assertThat(speed.prefillMillisPerToken(), is(within(before, 1.2)));
    }
}
