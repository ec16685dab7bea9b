package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.Tuple.Tuple2;
import org.geraniumstand.standins.EngineSwitch;
import org.geraniumstand.standins.OrderDeskSwitch;
import org.geraniumstand.standins.StoreSwitch;

/**
 * Runs random sequences of traffic and faults against real processes, then clears all faults and compares the answers
 * with the orders that ran.
 *
 * <p>A try takes seconds, so failing sequences are printed without shrinking. {@code bin/fuzz} runs more tries with a
 * given seed.
 */
final class ClusterFuzzTest {
    private static final int TRIES = 4;
    private static final int STEPS = 9;
    private static final int LARGEST_NUMBER = 11;
    private static final String SEED_PROPERTY = "fuzz.seed";
    private static final String TRIES_PROPERTY = "fuzz.tries";

    /** Holds a step and the number of the host, server or data centre that it acts on. */
    private record Step(String name, int number, BiConsumer<FuzzedCluster, Integer> action) {
        @Override
        public String toString() {
            return name + "(" + number + ")";
        }
    }

    @Property(tries = TRIES, seed = "20261204", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void answersMatchExecutedOrdersAfterRandomSteps(@ForAll("sequences") List<Step> steps) {
        run(steps, steps.hashCode() & 0xffff);
    }

    /** Runs the number of tries that the system properties specify; without them, none. */
    @Property(tries = 1, seed = "1", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void runsTriesGivenBySystemProperties() {
        long seed = Long.getLong(SEED_PROPERTY, 0);
        for (int i = 0; i < Integer.getInteger(TRIES_PROPERTY, 0); i++) {
            List<Step> steps =
                    sequences().generator(1_000).next(new Random(seed + i)).value();
            run(steps, seed + i);
        }
    }

    @Provide
    Arbitrary<List<Step>> sequences() {
        Arbitrary<Tuple2<String, BiConsumer<FuzzedCluster, Integer>>> kinds = Arbitraries.frequency(
                Tuple.of(5, step("burst", FuzzedCluster::burst)),
                Tuple.of(1, step("kill", FuzzedCluster::kill)),
                Tuple.of(1, step("stop", FuzzedCluster::stop)),
                Tuple.of(1, step("freeze", FuzzedCluster::freeze)),
                Tuple.of(1, step("store-down", w -> w.injectStoreFault(StoreSwitch.DOWN, 1))),
                Tuple.of(1, step("store-silent", w -> w.injectStoreFault(StoreSwitch.SILENT, 1))),
                Tuple.of(1, step("store-slow", w -> w.injectStoreFault(StoreSwitch.SLOW_MILLIS, 300))),
                Tuple.of(1, step("store-loses-answers", w -> w.injectStoreFault(StoreSwitch.LOSE_ANSWERS, 5))),
                Tuple.of(1, step("store-lapses-leases", w -> w.injectStoreFault(StoreSwitch.LAPSE_LEASES, -1))),
                Tuple.of(1, step("engine-crosses", (w, n) -> w.injectEngineFault(n, EngineSwitch.CROSS))),
                Tuple.of(1, step("engine-cuts", (w, n) -> w.injectEngineFault(n, EngineSwitch.CUT_MIDWAY))),
                Tuple.of(1, step("engine-silent", (w, n) -> w.injectEngineFault(n, EngineSwitch.SILENT_MIDWAY))),
                Tuple.of(1, step("desk-cuts-after", (w, n) -> w.injectOrderDeskFault(n, OrderDeskSwitch.CUT_AFTER))),
                Tuple.of(
                        1,
                        step("desk-silent-after", (w, n) -> w.injectOrderDeskFault(n, OrderDeskSwitch.SILENT_AFTER))),
                Tuple.of(1, step("desk-declines", (w, n) -> w.injectOrderDeskFault(n, OrderDeskSwitch.DECLINE))),
                Tuple.of(1, step("desk-crosses", (w, n) -> w.injectOrderDeskFault(n, OrderDeskSwitch.CROSS))),
                Tuple.of(1, step("cut", FuzzedCluster::cutConnections)),
                Tuple.of(1, step("silence", FuzzedCluster::stall)),
                Tuple.of(1, step("reclaim", FuzzedCluster::reclaim)),
                Tuple.of(1, step("take-out", FuzzedCluster::takeOutOfService)),
                Tuple.of(1, step("bring-back", FuzzedCluster::returnToService)),
                Tuple.of(1, step("switch-preset", FuzzedCluster::switchPreset)));
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, LARGEST_NUMBER);
        return Combinators.combine(kinds, numbers)
                .as((kind, number) -> new Step(kind.get1(), number, kind.get2()))
                .list()
                .ofSize(STEPS);
    }

    private static Tuple2<String, BiConsumer<FuzzedCluster, Integer>> step(
            String name, BiConsumer<FuzzedCluster, Integer> action) {
        return Tuple.of(name, action);
    }

    private static Tuple2<String, BiConsumer<FuzzedCluster, Integer>> step(
            String name, Consumer<FuzzedCluster> action) {
        return Tuple.of(name, (fuzzedCluster, _number) -> action.accept(fuzzedCluster));
    }

    private static void run(List<Step> steps, long seed) {
        try (FuzzedCluster fuzzedCluster = new FuzzedCluster(seed)) {
            fuzzedCluster.burst();
            steps.forEach(step -> step.action().accept(fuzzedCluster, step.number()));
            List<String> found = fuzzedCluster.recoverAndCheck();
            assertThat("seed " + seed + " steps " + steps + "\n" + fuzzedCluster.logs(), found, is(empty()));
        }
    }
}
