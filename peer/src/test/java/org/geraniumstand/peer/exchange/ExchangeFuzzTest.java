package org.geraniumstand.peer.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Drives several processes through changes, cuts, pauses, kills and starts.
 *
 * <p>The oracle is the list of accepted documents: no process ever goes back, none applies a document that was not
 * accepted, and once all links work again the newest one that a living process had is in force everywhere.
 */
final class ExchangeFuzzTest {
    private static final int NODES = 6;
    private static final int MOST_NODES = 12;
    private static final int CALM_STEPS = 1_200;

    private enum Kind {
        WRITE,
        STALE_READ,
        CUT,
        MEND,
        PAUSE,
        GO_ON,
        KILL,
        START,
        WAIT
    }

    private record Step(Kind kind, int a, int b) {}

    @Property(tries = 150, seed = "77", shrinking = ShrinkingMode.BOUNDED)
    void acceptedConfigurationsComeIntoForceEverywhereAndNeverRevert(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        FakeNetwork network = new FakeNetwork(NODES, seed);
        network.runUntil(() -> ExchangeTest.allSee(network, NODES), CALM_STEPS);
        long accepted = 0;
        for (Step step : steps) {
            if (step.kind() == Kind.WRITE) {
                accepted++;
            }
            apply(network, step, accepted);
            network.run(1 + Math.floorMod(step.b(), 40));
            checkNeverReverted(network, accepted);
        }
        network.heal();
        if (network.alive().isEmpty()) {
            return;
        }
        long newest = network.alive().stream()
                .mapToLong(n -> n.view().generation())
                .max()
                .orElse(-1);
        int members = network.alive().size();
        int calm = network.runUntil(
                () -> ExchangeTest.allHave(network, newest) && ExchangeTest.allSee(network, members), CALM_STEPS);
        assertThat(calm, is(greaterThanOrEqualTo(0)));
        checkNeverReverted(network, accepted);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 100),
                        Arbitraries.integers().between(0, 100))
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }

    private static void apply(FakeNetwork network, Step step, long accepted) {
        FakeNetwork.Node node = network.node(step.a());
        int a = Math.floorMod(step.a(), network.nodes().size());
        int b = Math.floorMod(step.b(), network.nodes().size());
        switch (step.kind()) {
            case WRITE -> read(node, accepted);
            case STALE_READ -> read(node, Math.max(0, accepted - 1 - step.b() % 3));
            case CUT -> network.cut(a, b, true);
            case MEND -> network.cut(a, b, false);
            case PAUSE -> node.pause(true);
            case GO_ON -> node.pause(false);
            case KILL -> killOneOfMany(network, node);
            case START -> startOneMore(network);
            case WAIT -> network.run(step.b());
        }
    }

    private static void read(FakeNetwork.Node node, long generation) {
        if (generation > 0 && !node.dead()) {
            node.exchange().onStoredConfiguration(ExchangeTest.document(generation, "w" + generation), node.now());
        }
    }

    private static void killOneOfMany(FakeNetwork network, FakeNetwork.Node node) {
        if (!node.dead() && network.alive().size() > 2) {
            node.kill();
        }
    }

    private static void startOneMore(FakeNetwork network) {
        if (network.nodes().size() < MOST_NODES) {
            network.add();
        }
    }

    private static void checkNeverReverted(FakeNetwork network, long accepted) {
        for (FakeNetwork.Node node : network.nodes()) {
            List<Long> applied = node.applied();
            for (int i = 1; i < applied.size(); i++) {
                assertThat(applied.get(i) > applied.get(i - 1), is(true));
            }
            assertThat(applied.stream().allMatch(g -> g >= 1 && g <= accepted), is(true));
        }
    }
}
