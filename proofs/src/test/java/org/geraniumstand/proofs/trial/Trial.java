package org.geraniumstand.proofs.trial;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.geraniumstand.decisions.TrafficController;

/** Runs a scenario with many seeds, the product beside the baseline, and prints what was measured. */
public final class Trial {
    /** Seeds of a figure. */
    public static final int SEEDS = 20;

    /** Time after the last request at which all must have ended, in milliseconds. */
    public static final double DRAIN_MILLIS = 35_000;

    private final String name;
    private final List<Measures> product = new ArrayList<>();
    private final List<Measures> baseline = new ArrayList<>();

    private Trial(String name) {
        this.name = name;
    }

    /** Sets the events of a scenario before it starts and tells which requests count. */
    @FunctionalInterface
    public interface Scenario {
        /**
         * Sets the events.
         *
         * @param world the trial
         * @return which requests count
         */
        Predicate<Call> prepare(TrialWorld world);
    }

    /**
     * Runs a scenario.
     *
     * @param name its name, printed with each figure
     * @param settings the sizes
     * @param lastMillis when the last request is sent, in milliseconds
     * @param scenario its events
     */
    public static Trial run(String name, TrialSettings settings, double lastMillis, Scenario scenario) {
        Trial trial = new Trial(name);
        for (int seed = 1; seed <= SEEDS; seed++) {
            trial.product.add(
                    once(settings, (self, _count) -> new TrafficController(self)::handle, seed, lastMillis, scenario));
            trial.baseline.add(once(settings, (_self, count) -> new RoundRobin(count), seed, lastMillis, scenario));
        }
        return trial;
    }

    private static Measures once(
            TrialSettings settings,
            TrialSettings.Controllers controllers,
            int seed,
            double lastMillis,
            Scenario scenario) {
        TrialWorld world = new TrialWorld(settings, controllers, seed);
        Predicate<Call> counted = scenario.prepare(world);
        world.start();
        world.clock().runUntil(lastMillis + DRAIN_MILLIS);
        return Measures.of(world, counted);
    }

    /**
     * Prints a figure of the product beside the baseline: median and worst of the seeds.
     *
     * @param figure its name
     * @param value reads it
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
                least(product, value),
                most(product, value),
                median(baseline, value),
                least(baseline, value),
                most(baseline, value));
        return this;
    }

    /** Prints the figures that every scenario has. */
    public Trial printAll() {
        return print("in-target-percent", Measures::inTargetPercent)
                .print("engine-cost-per-1000-in-target", Measures::costPerThousand)
                .print("rent-per-1000-in-target", Measures::rentPerThousand)
                .print("recomputed-tokens-per-1000-answers", Measures::recomputedTokens)
                .print("refused-not-run", Measures::refusedNotRun)
                .print("lost", Measures::lost)
                .print("attempts-per-call", Measures::attemptsPerCall)
                .print("cold-overloads", Measures::overloads)
                .print("late-new-work", Measures::lateWork);
    }

    /** Returns what the product brought, a seed each. */
    public List<Measures> product() {
        return List.copyOf(product);
    }

    /** Returns what the baseline brought, a seed each. */
    public List<Measures> baseline() {
        return List.copyOf(baseline);
    }

    /**
     * Returns the median of a figure.
     *
     * @param runs the seeds
     * @param value reads the figure
     */
    public static double median(List<Measures> runs, ToDoubleFunction<Measures> value) {
        double[] sorted = runs.stream().mapToDouble(value).toArray();
        Arrays.sort(sorted);
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }

    /**
     * Returns the least of a figure.
     *
     * @param runs the seeds
     * @param value reads the figure
     */
    public static double least(List<Measures> runs, ToDoubleFunction<Measures> value) {
        return runs.stream().mapToDouble(value).min().orElseThrow();
    }

    /**
     * Returns the most of a figure.
     *
     * @param runs the seeds
     * @param value reads the figure
     */
    public static double most(List<Measures> runs, ToDoubleFunction<Measures> value) {
        return runs.stream().mapToDouble(value).max().orElseThrow();
    }
}
