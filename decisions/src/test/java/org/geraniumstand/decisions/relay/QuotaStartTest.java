package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a team may use while all processes are killed and started at once. */
final class QuotaStartTest {
    /** A limit of a large and of a small team in tokens per second, and the mean tokens of their requests. */
    private static final int[][] TEAMS = {{150_000, 4_000}, {150_000, 9_190}, {30_000, 4_000}, {10_000, 2_000}};

    /** Requests that an exact limiter passes were refused for 15 s, as the store still listed the killed processes. */
    @ParameterizedTest
    @ValueSource(ints = {2, 33, 70, 330})
    void passesTeamBelowItsLimitAfterAllProcessesStartAgain(int count) {
        for (int[] team : TEAMS) {
            QuotaStartSimulation.Figures figures = new QuotaStartSimulation(count, team[0], team[1], 0.8, 30_000, 1)
                    .kill(15_000, 15_001, 1)
                    .run();

            assertThat("limit " + team[0], figures.refused(), lessThan(0.02));
            assertThat("limit " + team[0], figures.worst(), lessThan(1.0));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 33, 70, 330})
    void keepsLimitWhileAllProcessesAreKilledEveryThreeSeconds(int count) {
        for (int[] team : TEAMS) {
            for (double demand : new double[] {0.8, 1.0}) {
                QuotaStartSimulation.Figures figures = new QuotaStartSimulation(
                                count, team[0], team[1], demand, 40_000, 2)
                        .kill(12_000, 36_000, 3_000)
                        .run();

                assertThat("limit " + team[0], figures.refused(), lessThan(0.12));
                assertThat("limit " + team[0], figures.worst(), lessThan(1.0));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 33, 70, 330})
    void keepsLimitOfHotTeamInCalm(int count) {
        for (int[] team : TEAMS) {
            assertThat(
                    "limit " + team[0],
                    new QuotaStartSimulation(count, team[0], team[1], 6, 30_000, 1)
                            .measureFrom(15_000)
                            .run()
                            .worst(),
                    lessThan(1.0));
        }
    }

    @Test
    void keepsLimitOfHotTeamWhileAllProcessesAreKilled() {
        for (int[] team : TEAMS) {
            assertThat(
                    "limit " + team[0],
                    new QuotaStartSimulation(70, team[0], team[1], 6, 30_000, 1)
                            .kill(15_000, 15_001, 1)
                            .run()
                            .worst(),
                    lessThanOrEqualTo(1.0));
        }
    }
}
