package org.geraniumstand.proofs.decisions;

import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.geraniumstand.model.request.AttemptEnd;

/** Random sequences of arrivals, ends, reclaims, data centre changes and clock steps against a ledger. */
final class ControllerFuzzTest {
    private static final int MAX_PICK = 1_000;
    private static final int STEPS = 150;
    private static final int MAX_PASS_MILLIS = 3_000;
    private static final int MAX_WALL_STEP_MILLIS = 3_600_000;

    @Property(seed = "20261204", tries = 400)
    void keepsEveryPromise(@ForAll("chains") ActionChain<ControllerWorld> chain) {
        chain.withInvariant("generation", ControllerWorld::requireGeneration)
                .run()
                .settle();
    }

    @Provide
    Arbitrary<ActionChain<ControllerWorld>> chains() {
        return ActionChain.startWith(ControllerWorld::new)
                .withAction(8, arrive())
                .withAction(8, endAttempt())
                .withAction(1, abandon())
                .withAction(1, leave())
                .withAction(1, reclaim())
                .withAction(1, switchDataCentres())
                .withAction(1, Action.just("old configuration", ControllerFuzzTest::replay))
                .withAction(3, reportLoad())
                .withAction(4, passTime())
                .withAction(1, stepWallClock())
                .withMaxTransformations(STEPS);
    }

    private static ControllerWorld replay(ControllerWorld world) {
        world.replayOldConfiguration();
        return world;
    }

    private static Action.Independent<ControllerWorld> arrive() {
        return () -> Arbitraries.of(true, false)
                .map(order -> Transformer.mutate("arrive order=" + order, world -> world.arrive(order)));
    }

    private static Action.Independent<ControllerWorld> endAttempt() {
        Arbitrary<AttemptEnd> ends = Arbitraries.of(
                AttemptEnd.ANSWERED,
                AttemptEnd.ANSWERED,
                AttemptEnd.ANSWERED,
                AttemptEnd.SERVER_ERROR,
                AttemptEnd.DECLINED,
                AttemptEnd.NOT_CONNECTED,
                AttemptEnd.BROKEN,
                AttemptEnd.SILENT);
        return () -> Combinators.combine(picks(), ends)
                .as((pick, end) ->
                        Transformer.mutate("end pick=" + pick + " " + end, world -> world.endAttempt(pick, end)));
    }

    private static Action.Independent<ControllerWorld> abandon() {
        return () -> picks().map(pick -> Transformer.mutate("abandon " + pick, world -> world.abandon(pick)));
    }

    private static Action.Independent<ControllerWorld> leave() {
        return () -> picks().map(pick -> Transformer.mutate("leave " + pick, world -> world.markLeaving(pick)));
    }

    private static Action.Independent<ControllerWorld> reclaim() {
        return () -> picks().map(pick -> Transformer.mutate("reclaim " + pick, world -> world.reclaim(pick)));
    }

    private static Action.Independent<ControllerWorld> switchDataCentres() {
        return () -> Arbitraries.of(Fixtures.DATA_CENTRES)
                .set()
                .ofMaxSize(2)
                .map(out -> Transformer.mutate("out " + out, world -> world.switchDataCentres(Set.copyOf(out))));
    }

    private static Action.Independent<ControllerWorld> reportLoad() {
        return () -> Combinators.combine(picks(), Arbitraries.of(true, false))
                .as((pick, warm) -> Transformer.mutate(
                        "load pick=" + pick + " warm=" + warm, world -> world.reportLoad(pick, warm)));
    }

    private static Action.Independent<ControllerWorld> passTime() {
        return () -> Arbitraries.integers()
                .between(100, MAX_PASS_MILLIS)
                .map(millis -> Transformer.mutate("pass " + millis, world -> world.passTime(millis)));
    }

    private static Action.Independent<ControllerWorld> stepWallClock() {
        return () -> Arbitraries.integers()
                .between(-MAX_WALL_STEP_MILLIS, MAX_WALL_STEP_MILLIS)
                .map(millis -> Transformer.mutate("wall clock " + millis, world -> world.stepWallClock(millis)));
    }

    private static Arbitrary<Integer> picks() {
        return Arbitraries.integers().between(0, MAX_PICK);
    }
}
