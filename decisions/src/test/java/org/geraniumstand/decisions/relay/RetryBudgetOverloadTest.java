package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Locale;
import java.util.function.IntPredicate;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the retries of all processes together stay within the budget of a service. */
final class RetryBudgetOverloadTest {
    private static final int DURATION_MILLIS = 60_000;
    private static final int CUT_MILLIS = 90_000;
    private static final int DISTURBED_MILLIS = 25_000;
    private static final double CALLS_PER_SECOND = 10;
    private static final double CALLS_OF_ALL_PER_SECOND = 33;
    private static final double LEAST_USE = 0.8;
    private static final long SEEDS = 2;

    private static final List<Integer> KILL_DELAYS_MILLIS = List.of(500, 1_000, 2_000, 3_000, 5_000, 9_000);

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void usesMostOfBudgetInCalm(int processes) {
        assertThat(used(processes), greaterThanOrEqualTo(LEAST_USE));
        assertWithin(processes, "calm", DURATION_MILLIS, RetryBudgetOverloadTest::always, simulation -> simulation);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetOfAllProcessesKilledAgainAndAgain(int processes) {
        assertWithin(
                processes,
                "killed",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::always,
                s -> s.kill(1, DISTURBED_MILLIS, 50_000, 3_000));
        assertWithin(
                processes,
                "killed-spells",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::inSpells,
                s -> s.kill(1, DISTURBED_MILLIS, 50_000, 3_000));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetOfSomeProcessesKilledAgainAndAgain(int processes) {
        assertWithin(
                processes,
                "some-killed",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::always,
                s -> s.kill(0.3, DISTURBED_MILLIS, 50_000, 1_000));
        assertWithin(
                processes,
                "one-killed-spells",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::inSpells,
                s -> s.kill(1e-3, DISTURBED_MILLIS, 50_000, 500));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetOfProcessesReplacedOneByOne(int processes) {
        int interval = Math.max(50, Math.min(3_000, 20_000 / processes));
        assertWithin(
                processes,
                "rolled",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::always,
                s -> s.roll(DISTURBED_MILLIS, 50_000, interval, 2_000));
        assertWithin(
                processes,
                "rolled-slow",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::inSpells,
                s -> s.roll(15_000, 50_000, interval, 16_000));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetOfFrozenProcesses(int processes) {
        assertWithin(
                processes,
                "frozen",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::always,
                s -> s.freeze(0.5, 25_000, 2_500).freeze(0.5, 31_000, 2_500).freeze(0.5, 37_000, 2_500));
        assertWithin(
                processes,
                "frozen-long",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::always,
                s -> s.freeze(0.5, 20_000, 20_000));
        assertWithin(
                processes,
                "frozen-at-start",
                DURATION_MILLIS,
                RetryBudgetOverloadTest::always,
                s -> s.freeze(0.5, 1_000, 20_000));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetOfProcessesCutOffForOverAMinute(int processes) {
        int duration = DISTURBED_MILLIS + CUT_MILLIS + 20_000;
        assertWithin(
                processes,
                "cut",
                duration,
                RetryBudgetOverloadTest::always,
                s -> s.cut(0.5, DISTURBED_MILLIS, CUT_MILLIS));
        assertWithin(
                processes,
                "isolated",
                duration,
                RetryBudgetOverloadTest::always,
                s -> s.isolate(DISTURBED_MILLIS, CUT_MILLIS));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetOfProcessesStartedAtOnce(int processes) {
        assertWithin(processes, "started", 30_000, RetryBudgetOverloadTest::always, s -> s);
        assertWithin(processes, "started-spells", 30_000, RetryBudgetOverloadTest::inSpells, s -> s);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetWithFailuresCloserThanTheWindow(int processes) {
        assertWithin(processes, "bursts", DURATION_MILLIS, RetryBudgetOverloadTest::inBursts, s -> s);
    }

    /** The running processes spend the budget of a whole window before they are killed. */
    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetSpentBeforeProcessesAreKilled(int processes) {
        for (int delay : KILL_DELAYS_MILLIS) {
            int killed = DISTURBED_MILLIS + delay;
            for (double rate : new double[] {CALLS_PER_SECOND, CALLS_OF_ALL_PER_SECOND / processes}) {
                String fault = "spent-%d-rate-%.1f".formatted(delay, rate);
                assertWithin(processes, fault, rate, s -> s.restart(1, killed, 1));
                assertWithin(processes, fault + "-down", rate, s -> s.restart(1, killed, 1_000));
                assertWithin(processes, fault + "-half", rate, s -> s.restart(0.5, killed, 1));
                assertWithin(processes, fault + "-again", rate, s -> s.kill(1, killed, 50_000, 3_000));
                assertWithin(
                        processes,
                        fault + "-one-by-one",
                        rate,
                        s -> s.roll(killed, killed + 5_000, Math.max(10, 5_000 / processes + 1), 1));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 7, 30, 95, 330})
    void budgetSpentBeforeCallersMoveToOtherProcesses(int processes) {
        for (int delay : KILL_DELAYS_MILLIS) {
            for (double rate : new double[] {CALLS_PER_SECOND, CALLS_OF_ALL_PER_SECOND / processes}) {
                String fault = "moved-%d-rate-%.1f".formatted(delay, rate);
                assertWithin(processes, fault, rate, s -> s.remove(0.5, DISTURBED_MILLIS + delay));
            }
        }
    }

    private static boolean always(int _millis) {
        return true;
    }

    /** Servers recover for some seconds, so that the whole slack is free when they fail again. */
    private static boolean inSpells(int millis) {
        return millis % 12_000 > 8_000;
    }

    /** Failures are short and slightly closer to each other than the length of the window. */
    private static boolean inBursts(int millis) {
        return millis > DISTURBED_MILLIS && millis % 9_700 < 900;
    }

    private static boolean later(int millis) {
        return millis >= DISTURBED_MILLIS;
    }

    private static double used(int processes) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToDouble(seed -> new RetryBudgetSimulation(
                                processes, CALLS_PER_SECOND, DURATION_MILLIS, RetryBudgetOverloadTest::always, seed)
                        .run()
                        .used())
                .average()
                .orElse(0);
    }

    private static void assertWithin(
            int processes, String fault, double callsPerSecond, UnaryOperator<RetryBudgetSimulation> disturb) {
        assertWithin(processes, fault, callsPerSecond, DURATION_MILLIS, RetryBudgetOverloadTest::later, disturb);
    }

    private static void assertWithin(
            int processes,
            String fault,
            int durationMillis,
            IntPredicate failing,
            UnaryOperator<RetryBudgetSimulation> disturb) {
        assertWithin(processes, fault, CALLS_PER_SECOND, durationMillis, failing, disturb);
    }

    @SuppressWarnings("SystemOut")
    private static void assertWithin(
            int processes,
            String fault,
            double callsPerSecond,
            int durationMillis,
            IntPredicate failing,
            UnaryOperator<RetryBudgetSimulation> disturb) {
        double worst = 0;
        double used = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            RetryBudgetSimulation.Figures figures = disturb.apply(
                            new RetryBudgetSimulation(processes, callsPerSecond, durationMillis, failing, seed))
                    .run();
            worst = Math.max(worst, figures.worst());
            used += figures.used() / SEEDS;
        }
        System.out.printf(
                Locale.ROOT,
                "simulation=retry-budget fault=%s processes=%d worst=%.2f used=%.2f%n",
                fault,
                processes,
                worst,
                used);
        assertThat(fault, worst, lessThanOrEqualTo(1.0));
    }
}
