package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.function.IntToDoubleFunction;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that name a limit get more calls than that from processes which know of it. */
final class ServerLimitOverloadTest {
    private static final double NONE = Double.POSITIVE_INFINITY;
    private static final int DURATION_MILLIS = 40_000;
    private static final int NAMED_MILLIS = 3_000;
    private static final int SETTLED_MILLIS = 10_000;
    private static final int SEEDS = 3;
    private static final int MANY_PROCESSES = 100;

    /** Calls per second that reach all processes together: several times the limit, and one at each process. */
    private static double demand(int processes, double limit) {
        return Math.max(Math.max(20, 5 * limit), processes);
    }

    /** Returns the number of seeds; a simulation of many processes takes long. */
    private static int seeds(int processes) {
        return processes > MANY_PROCESSES ? 1 : SEEDS;
    }

    private static IntToDoubleFunction constant(double limit) {
        return millis -> millis < NAMED_MILLIS ? NONE : limit;
    }

    private static NamedLimitSimulation simulation(int processes, int otherServers, double limit, long seed) {
        return new NamedLimitSimulation(processes, otherServers, DURATION_MILLIS, constant(limit), seed)
                .demand(demand(processes, limit));
    }

    @ParameterizedTest
    @CsvSource({
        "2, 0", "2, 0.3", "2, 1", "2, 1.4", "2, 8", "2, 40",
        "7, 0", "7, 0.3", "7, 1", "7, 1.4", "7, 8", "7, 40",
        "30, 0", "30, 0.3", "30, 1", "30, 1.4", "30, 8", "30, 40",
        "330, 0", "330, 0.3", "330, 1", "330, 1.4", "330, 8", "330, 40"
    })
    void serverGetsNoMoreThanItsNamedLimitAllows(int processes, double limit) {
        for (int seed = 0; seed < seeds(processes); seed++) {
            assertThat(simulation(processes, 1, limit, seed).run().worstWindow(), lessThanOrEqualTo(1.0));
            assertThat(
                    simulation(processes, 0, limit, seed).deadline(1_000).run().worstWindow(), lessThanOrEqualTo(1.0));
        }
    }

    @ParameterizedTest
    @CsvSource({"2, 1.4", "7, 1.4", "7, 8", "30, 8", "330, 1", "330, 40"})
    void serverGetsNoMoreThanALimitThatChangesAllows(int processes, double limit) {
        IntToDoubleFunction changing = millis -> millis < NAMED_MILLIS
                ? NONE
                : millis < 12_000 ? limit : millis < 20_000 ? 3 * limit : millis < 30_000 ? limit / 2 : limit;
        for (int seed = 0; seed < seeds(processes); seed++) {
            NamedLimitSimulation simulation = new NamedLimitSimulation(processes, 1, DURATION_MILLIS, changing, seed)
                    .demand(demand(processes, 3 * limit))
                    .run();

            assertThat(simulation.worstWindow(), lessThanOrEqualTo(1.0));
        }
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "7, 1.4", "7, 8", "30, 1", "30, 40", "330, 1", "330, 8"})
    void limitHoldsWhileHalfOfTheProcessesAreCutOff(int processes, double limit) {
        for (int seed = 0; seed < seeds(processes); seed++) {
            assertThat(
                    simulation(processes, 1, limit, seed)
                            .cut(0.5, 15_000, 27_000)
                            .run()
                            .worstWindow(),
                    lessThanOrEqualTo(1.0));
        }
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "7, 1.4", "7, 8", "30, 1", "30, 40", "330, 1", "330, 8"})
    void limitHoldsWhenProcessesAreKilledAndStartAgain(int processes, double limit) {
        for (int seed = 0; seed < seeds(processes); seed++) {
            assertThat(
                    simulation(processes, 1, limit, seed)
                            .restart(0.3, 12_000, 13_000)
                            .restart(1, 25_000, 26_000)
                            .run()
                            .worstWindow(),
                    lessThanOrEqualTo(1.0));
        }
    }

    @ParameterizedTest
    @CsvSource({"2, 0.3", "7, 1.4", "7, 8", "30, 1", "330, 1", "330, 40"})
    void limitHoldsWithoutMessagesBetweenProcesses(int processes, double limit) {
        for (int seed = 0; seed < seeds(processes); seed++) {
            assertThat(
                    simulation(processes, 1, limit, seed)
                            .withoutAggregators()
                            .run()
                            .worstWindow(),
                    lessThanOrEqualTo(1.0));
        }
    }

    @ParameterizedTest
    @CsvSource({"2, 0.3", "2, 8", "7, 1.4", "7, 8", "30, 1", "30, 40", "330, 1", "330, 40"})
    void mostOfTheLimitIsUsed(int processes, double limit) {
        double used = usedShare(processes, limit, simulation -> simulation);

        assertThat(used, greaterThan(0.5));
    }

    @ParameterizedTest
    @CsvSource({"7, 1.4", "30, 1", "330, 8"})
    void mostOfTheLimitIsUsedByTheProcessThatHasMostCalls(int processes, double limit) {
        double used = usedShare(processes, limit, NamedLimitSimulation::skewed);

        assertThat(used, greaterThan(0.5));
    }

    /** Returns the share of the limit that is used, averaged over all seeds. */
    private static double usedShare(int processes, double limit, UnaryOperator<NamedLimitSimulation> variant) {
        double used = 0;
        for (int seed = 0; seed < seeds(processes); seed++) {
            used += variant.apply(simulation(processes, 0, limit, seed))
                            .deadline(1_000)
                            .run()
                            .usedShare(SETTLED_MILLIS, DURATION_MILLIS)
                    / seeds(processes);
        }
        return used;
    }

    @ParameterizedTest
    @CsvSource({"2, 0.3", "7, 1.4", "330, 8"})
    void otherServersTakeTheRest(int processes, double limit) {
        assertThat(simulation(processes, 1, limit, 1).run().refused(), is(0));
    }

    @ParameterizedTest
    @CsvSource({"2, 0.3", "7, 1.4", "30, 8", "330, 1"})
    void callsThatNoServerTakesInTimeAreNotHeldUntilTheirDeadline(int processes, double limit) {
        NamedLimitSimulation simulation =
                simulation(processes, 0, limit, 1).deadline(4_000).run();

        assertThat(simulation.refused(), greaterThan(100));
        assertThat(simulation.refusedWithin(20), greaterThan(0.5));
        assertThat(simulation.refusedWithin(3_500), is(1.0));
    }

    /** Most processes have no share of the limit and get no answer of the server that would tell them. */
    @ParameterizedTest
    @ValueSource(ints = {2, 7, 330})
    void allProcessesLearnThatTheLimitEnds(int processes) {
        int endMillis = 20_000;
        IntToDoubleFunction ending = millis -> millis < NAMED_MILLIS || millis >= endMillis ? NONE : 1;
        NamedLimitSimulation simulation = new NamedLimitSimulation(processes, 1, DURATION_MILLIS, ending, 1)
                .demand(200)
                .run();

        assertThat(simulation.receivedPerSecond(SETTLED_MILLIS, endMillis), lessThanOrEqualTo(1.5));
        assertThat(simulation.receivedPerSecond(30_000, DURATION_MILLIS), closeTo(100, 15));
    }
}
