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
 * Runs several processes through random sequences of configuration changes, link cuts, pauses, kills and starts.
 *
 * <p>Checks against the list of accepted configurations: no process ever reverts to an older configuration or applies
 * one that was not accepted, and once all links work again, the newest configuration that a live process had is in
 * force everywhere.
 */
final class GossipProtocolFuzzTest {
    private static final int NODES = 6;
    private static final int MAX_NODES = 12;
    private static final int MAX_CONVERGENCE_STEPS = 1_200;

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

    private record Step(Kind kind, int nodeIndex, int argument) {}

    @Property(tries = 150, seed = "77", shrinking = ShrinkingMode.BOUNDED)
    void everyProcessConvergesOnTheNewestConfigurationAndNeverReverts(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        FakeNetwork network = new FakeNetwork(NODES, seed);
        network.runUntil(() -> GossipProtocolTest.allSeeMembers(network, NODES), MAX_CONVERGENCE_STEPS);
        long accepted = 0;
        for (Step step : steps) {
            if (step.kind() == Kind.WRITE) {
                accepted++;
            }
            apply(network, step, accepted);
            network.run(1 + Math.floorMod(step.argument(), 40));
            checkNeverReverted(network, accepted);
        }
        network.heal();
        if (network.alive().isEmpty()) {
            return;
        }
        long newest = network.alive().stream()
                .mapToLong(node -> node.view().generation())
                .max()
                .orElse(-1);
        int members = network.alive().size();
        int convergenceSteps = network.runUntil(
                () -> GossipProtocolTest.allApplied(network, newest)
                        && GossipProtocolTest.allSeeMembers(network, members),
                MAX_CONVERGENCE_STEPS);
        assertThat(convergenceSteps, is(greaterThanOrEqualTo(0)));
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
        FakeNetwork.Node node = network.node(step.nodeIndex());
        int a = Math.floorMod(step.nodeIndex(), network.nodes().size());
        int b = Math.floorMod(step.argument(), network.nodes().size());
        switch (step.kind()) {
            case WRITE -> applyStored(node, accepted);
            case STALE_READ -> applyStored(node, Math.max(0, accepted - 1 - step.argument() % 3));
            case CUT -> network.setLinkCut(a, b, true);
            case MEND -> network.setLinkCut(a, b, false);
            case PAUSE -> node.pause(true);
            case GO_ON -> node.pause(false);
            case KILL -> killUnlessFewRemain(network, node);
            case START -> startUnlessAtLimit(network);
            case WAIT -> network.run(step.argument());
        }
    }

    private static void applyStored(FakeNetwork.Node node, long generation) {
        if (generation > 0 && !node.dead()) {
            node.gossip().onStoredConfiguration(GossipProtocolTest.document(generation, "w" + generation), node.now());
        }
    }

    private static void killUnlessFewRemain(FakeNetwork network, FakeNetwork.Node node) {
        if (!node.dead() && network.alive().size() > 2) {
            node.kill();
        }
    }

    private static void startUnlessAtLimit(FakeNetwork network) {
        if (network.nodes().size() < MAX_NODES) {
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
