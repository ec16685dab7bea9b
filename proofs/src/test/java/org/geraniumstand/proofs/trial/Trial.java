package org.geraniumstand.proofs.trial;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.geraniumstand.decisions.TrafficController;

/** Runs a scenario with many seeds for the product and for the baseline, and prints the measures of both. */
public final class Trial {
    /** Number of seeds per figure. */
    public static final int SEEDS = 20;

    /** Time after the last request within which all requests must end, in milliseconds. */
    public static final double DRAIN_MILLIS = 35_000;

    private final String name;
    private final List<Measures> product = new ArrayList<>();
    private final List<Measures> baseline = new ArrayList<>();

    private Trial(String name) {
        this.name = name;
    }

    /** Schedules the events of a scenario before the start and selects the requests that are measured. */
    @FunctionalInterface
    public interface Scenario {
        /**
         * Schedules the events.
         *
         * @param simulation simulation of the trial
         * @return predicate that selects the requests to measure
         */
        Predicate<Call> prepare(TrialSimulation simulation);
    }

    /**
     * Runs a scenario with all seeds for the product and the baseline.
     *
     * @param name name of the trial, printed with each figure
     * @param settings sizes of the deployment
     * @param lastRequestMillis time of the last request, in milliseconds since the start
     * @param scenario schedules the events
     */
    public static Trial run(String name, TrialSettings settings, double lastRequestMillis, Scenario scenario) {
        Trial trial = new Trial(name);
        for (int seed = 1; seed <= SEEDS; seed++) {
            trial.product.add(runSeed(
                    settings,
                    (self, _count) -> new TrafficController(self)::handle,
                    seed,
                    lastRequestMillis,
                    scenario));
            trial.baseline.add(
                    runSeed(settings, (_self, count) -> new RoundRobin(count), seed, lastRequestMillis, scenario));
        }
        return trial;
    }

    private static Measures runSeed(
            TrialSettings settings,
            TrialSettings.Controllers controllers,
            int seed,
            double lastRequestMillis,
            Scenario scenario) {
        TrialSimulation simulation = new TrialSimulation(settings, controllers, seed);
        Predicate<Call> counted = scenario.prepare(simulation);
        simulation.start();
        simulation.clock().runUntil(lastRequestMillis + DRAIN_MILLIS);
        return Measures.of(simulation, counted);
    }

    /**
     * Prints the median, least and greatest value of a figure over the seeds, for the product and the baseline.
     *
     * @param figure name of the figure
     * @param value reads the figure from the measures of a seed
     */
    public Trial print(String figure, ToDoubleFunction<Measures> value) {
        System.out.printf(
                Locale.ROOT,
                "trial=%s figure=%s seeds=%d median=%.2f least=%.2f most=%.2f baseline-median=%.2f baseline-least=%.2f"
                        + " baseline-most=%.2f%n",
                name,
                figure,
                SEEDS,
                median(product, value),
                minimum(product, value),
                maximum(product, value),
                median(baseline, value),
                minimum(baseline, value),
                maximum(baseline, value));
        return this;
    }

    /** Prints the figures that are common to all scenarios. */
    public Trial printAll() {
        return print("in-target-percent", Measures::inTargetPercent)
                .print("engine-cost-per-1000-in-target", Measures::engineCostPerThousand)
                .print("rent-per-1000-in-target", Measures::hostCostPerThousand)
                .print("recomputed-tokens-per-1000-answers", Measures::recomputedTokens)
                .print("refused-not-run", Measures::refusedNotRun)
                .print("lost", Measures::lost)
                .print("attempts-per-call", Measures::attemptsPerCall)
                .print("cold-overloads", Measures::overloads)
                .print("late-new-work", Measures::lateDispatches);
    }

    /** Returns the measures of the product, one per seed. */
    public List<Measures> product() {
        return List.copyOf(product);
    }

    /** Returns the measures of the baseline, one per seed. */
    public List<Measures> baseline() {
        return List.copyOf(baseline);
    }

    /**
     * Returns the median of a figure over the seeds.
     *
     * @param measures measures, one per seed
     * @param value reads the figure from the measures of a seed
     */
    public static double median(List<Measures> measures, ToDoubleFunction<Measures> value) {
        double[] sorted = measures.stream().mapToDouble(value).toArray();
        Arrays.sort(sorted);
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }

    /**
     * Returns the minimum of a figure over the seeds.
     *
     * @param measures measures, one per seed
     * @param value reads the figure from the measures of a seed
     */
    public static double minimum(List<Measures> measures, ToDoubleFunction<Measures> value) {
        return measures.stream().mapToDouble(value).min().orElseThrow();
    }

    /**
     * Returns the maximum of a figure over the seeds.
     *
     * @param measures measures, one per seed
     * @param value reads the figure from the measures of a seed
     */
    public static double maximum(List<Measures> measures, ToDoubleFunction<Measures> value) {
        return measures.stream().mapToDouble(value).max().orElseThrow();
    }
}
