package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Half of the engines are gone for 20 s at full demand; 33 processes hear of each other's calls every 400 ms. */
final class RoomReplayTest {
    private static final int PROCESSES = 33;
    private static final int LOST_SECOND = 10;
    private static final int BACK_SECOND = 30;
    private static final int SECONDS = 42;

    /** Seconds in which each window of service is measured. */
    private static final int WINDOW = 4;

    private static RoomSimulation run(int processes, double demand, boolean lost) {
        return new RoomSimulation(processes, demand, 1, lost).run(SECONDS);
    }

    @Test
    void remainingRoomIsUsedThroughout() {
        double best = 0;
        for (double demand = 0.4; demand < 0.78; demand += 0.05) {
            best = Math.max(best, run(1, demand, true).inTime(LOST_SECOND + 1, BACK_SECOND));
        }
        RoomSimulation all = run(PROCESSES, 1, true);

        for (int from = LOST_SECOND; from < BACK_SECOND; from += WINDOW) {
            assertThat(all.inTime(from, from + WINDOW) / best, greaterThanOrEqualTo(0.9));
        }
    }

    @Test
    void serviceIsWholeThreeSecondsAfterTheEnginesAreBack() {
        double whole = run(PROCESSES, 1, false).inTime(BACK_SECOND + 3, SECONDS - 1);

        assertThat(run(PROCESSES, 1, true).inTime(BACK_SECOND + 3, SECONDS - 1) / whole, greaterThanOrEqualTo(0.97));
    }

    @Test
    void allIsServedWhileNoEngineIsGone() {
        RoomSimulation whole = run(PROCESSES, 1, false);

        assertThat(whole.share(LOST_SECOND, SECONDS - 1), greaterThanOrEqualTo(0.97));
    }

    @Test
    void noKindOfCallStarvesWhileTooLittleIsLeft() {
        RoomSimulation all = run(PROCESSES, 1, true);

        assertThat(all.kindsWithoutService(LOST_SECOND, BACK_SECOND), lessThan(1));
    }
}
