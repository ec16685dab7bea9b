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
 * Random sequences of steps over real processes; afterwards all faults end and the ledger is checked.
 *
 * <p>A try takes seconds, so failing sequences are printed as they are and not shrunk. {@code bin/fuzz} runs more tries
 * with a seed of one's choice.
 */
final class ClusterFuzzTest {
    private static final int TRIES = 4;
    private static final int STEPS = 9;
    private static final int LARGEST_NUMBER = 11;
    private static final String SEED_PROPERTY = "fuzz.seed";
    private static final String TRIES_PROPERTY = "fuzz.tries";

    /** A step and the number of what it acts on. */
    private record Step(String name, int number, BiConsumer<World, Integer> action) {
        @Override
        public String toString() {
            return name + "(" + number + ")";
        }
    }

    @Property(tries = TRIES, seed = "20261204", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void ledgerHoldsAfterAnySteps(@ForAll("sequences") List<Step> steps) {
        run(steps, steps.hashCode() & 0xffff);
    }

    /** Runs as many tries as the system properties ask for; without them, none. */
    @Property(tries = 1, seed = "1", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void longRun() {
        long seed = Long.getLong(SEED_PROPERTY, 0);
        for (int i = 0; i < Integer.getInteger(TRIES_PROPERTY, 0); i++) {
            List<Step> steps =
                    sequences().generator(1_000).next(new Random(seed + i)).value();
            run(steps, seed + i);
        }
    }

    @Provide
    Arbitrary<List<Step>> sequences() {
        Arbitrary<Tuple2<String, BiConsumer<World, Integer>>> kinds = Arbitraries.frequency(
                Tuple.of(5, step("burst", World::burst)),
                Tuple.of(1, step("kill", World::kill)),
                Tuple.of(1, step("stop", World::stop)),
                Tuple.of(1, step("freeze", World::freeze)),
                Tuple.of(1, step("store-down", w -> w.store(StoreSwitch.DOWN, 1))),
                Tuple.of(1, step("store-silent", w -> w.store(StoreSwitch.SILENT, 1))),
                Tuple.of(1, step("store-slow", w -> w.store(StoreSwitch.SLOW_MILLIS, 300))),
                Tuple.of(1, step("store-loses-answers", w -> w.store(StoreSwitch.LOSE_ANSWERS, 5))),
                Tuple.of(1, step("store-lapses-leases", w -> w.store(StoreSwitch.LAPSE_LEASES, -1))),
                Tuple.of(1, step("engine-crosses", (w, n) -> w.engine(n, EngineSwitch.CROSS))),
                Tuple.of(1, step("engine-cuts", (w, n) -> w.engine(n, EngineSwitch.CUT_MIDWAY))),
                Tuple.of(1, step("engine-silent", (w, n) -> w.engine(n, EngineSwitch.SILENT_MIDWAY))),
                Tuple.of(1, step("desk-cuts-after", (w, n) -> w.desk(n, OrderDeskSwitch.CUT_AFTER))),
                Tuple.of(1, step("desk-silent-after", (w, n) -> w.desk(n, OrderDeskSwitch.SILENT_AFTER))),
                Tuple.of(1, step("desk-declines", (w, n) -> w.desk(n, OrderDeskSwitch.DECLINE))),
                Tuple.of(1, step("desk-crosses", (w, n) -> w.desk(n, OrderDeskSwitch.CROSS))),
                Tuple.of(1, step("cut", World::cut)),
                Tuple.of(1, step("silence", World::silence)),
                Tuple.of(1, step("reclaim", World::reclaim)),
                Tuple.of(1, step("take-out", World::takeOut)),
                Tuple.of(1, step("bring-back", World::bringBack)),
                Tuple.of(1, step("switch-preset", World::switchPreset)));
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, LARGEST_NUMBER);
        return Combinators.combine(kinds, numbers)
                .as((kind, number) -> new Step(kind.get1(), number, kind.get2()))
                .list()
                .ofSize(STEPS);
    }

    private static Tuple2<String, BiConsumer<World, Integer>> step(String name, BiConsumer<World, Integer> action) {
        return Tuple.of(name, action);
    }

    private static Tuple2<String, BiConsumer<World, Integer>> step(String name, Consumer<World> action) {
        return Tuple.of(name, (world, _number) -> action.accept(world));
    }

    private static void run(List<Step> steps, long seed) {
        try (World world = new World(seed)) {
            world.burst();
            steps.forEach(step -> step.action().accept(world, step.number()));
            List<String> found = world.settle();
            assertThat("seed " + seed + " steps " + steps + "\n" + world.logs(), found, is(empty()));
        }
    }
}
