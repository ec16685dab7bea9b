package org.geraniumstand.proofs.moves;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.geraniumstand.model.config.MoveState;

/** Runs the seeds of a trial in parallel and prints the median and the worst value of each measure. */
final class Trials {
    private static final int THREADS = 4;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private Trials() {}

    /** Runs a trial with the product's move controllers and with the baseline; returns the controllers' results. */
    static List<List<MoveResult>> run(String name, Scenario scenario, int seeds) throws InterruptedException {
        List<List<MoveResult>> controllers = runSeeds(
                seeds, seed -> MoveSimulation.withControllers(scenario, seed).run());
        List<List<MoveResult>> baseline = runSeeds(
                seeds, seed -> MoveSimulation.withLinearRamp(scenario, seed).run());
        print(name, "boards", controllers);
        print(name, "baseline", baseline);
        return controllers;
    }

    private static List<List<MoveResult>> runSeeds(int seeds, LongFunction<List<MoveResult>> trial)
            throws InterruptedException {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Callable<List<MoveResult>>> tasks = LongStream.range(0, seeds)
                    .<Callable<List<MoveResult>>>mapToObj(seed -> () -> trial.apply(seed))
                    .toList();
            return threads.invokeAll(tasks).stream().map(Trials::get).toList();
        } finally {
            threads.shutdownNow();
        }
    }

    private static <T> T get(Future<T> future) {
        try {
            return future.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException("trial failed", e);
        }
    }

    private static void print(String name, String policy, List<List<MoveResult>> results) {
        int moves = results.get(0).size();
        for (int i = 0; i < moves; i++) {
            int move = i;
            List<MoveResult> moveResults =
                    results.stream().map(r -> r.get(move)).toList();
            long done =
                    moveResults.stream().filter(r -> r.state == MoveState.DONE).count();
            long withdrawn = moveResults.stream()
                    .filter(r -> r.state == MoveState.WITHDRAWN)
                    .count();
            String line = String.format(
                    Locale.ROOT,
                    "trial %s policy=%s move=%d seeds=%d done=%d withdrawn=%d newPercent=%s afterVisible=%s"
                            + " afterEnd=%s endSeconds=%s visibleSeconds=%s lost=%s reasons=%s",
                    name,
                    policy,
                    move,
                    moveResults.size(),
                    done,
                    withdrawn,
                    medianAndWorst(moveResults, MoveResult::newPercent),
                    medianAndWorst(moveResults, r -> r.afterVisible),
                    medianAndWorst(moveResults, r -> r.afterEnd),
                    medianAndWorst(moveResults, r -> r.endMillis / MILLIS_PER_SECOND),
                    medianAndWorst(moveResults, r -> r.visibleMillis / MILLIS_PER_SECOND),
                    medianAndWorst(moveResults, r -> r.lost),
                    moveResults.stream()
                            .collect(Collectors.groupingBy(r -> r.reason, TreeMap::new, Collectors.counting())));
            System.out.println(line);
        }
    }

    private static String medianAndWorst(List<MoveResult> results, ToDoubleFunction<MoveResult> measure) {
        double[] sorted = results.stream().mapToDouble(measure).sorted().toArray();
        double median = sorted[sorted.length / 2];
        double worst = Arrays.stream(sorted).max().orElse(0);
        return String.format(Locale.ROOT, "%.2f/%.2f", median, worst);
    }
}
