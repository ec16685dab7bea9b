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

/**
 * Checks a controller against a ledger in random sequences of request arrivals, attempt ends, reclaims, data centre
 * changes and clock steps.
 */
final class ControllerFuzzTest {
    private static final int MAX_PICK = 1_000;
    private static final int STEPS = 150;
    private static final int MAX_ADVANCE_MILLIS = 3_000;
    private static final int MAX_WALL_STEP_MILLIS = 3_600_000;

    @Property(seed = "20261204", tries = 400)
    void actionsMatchLedgerInRandomSequences(@ForAll("chains") ActionChain<ControllerHarness> chain) {
        chain.withInvariant("generation", ControllerHarness::requireGeneration)
                .run()
                .expireWaitingRequests();
    }

    @Provide
    Arbitrary<ActionChain<ControllerHarness>> chains() {
        return ActionChain.startWith(ControllerHarness::new)
                .withAction(8, arrive())
                .withAction(8, endAttempt())
                .withAction(1, disconnectCaller())
                .withAction(1, drainServer())
                .withAction(1, reclaim())
                .withAction(1, setDataCentresOut())
                .withAction(1, Action.just("old configuration", ControllerFuzzTest::replay))
                .withAction(3, reportLoad())
                .withAction(4, advanceTime())
                .withAction(1, stepWallClock())
                .withMaxTransformations(STEPS);
    }

    private static ControllerHarness replay(ControllerHarness harness) {
        harness.replayOldConfiguration();
        return harness;
    }

    private static Action.Independent<ControllerHarness> arrive() {
        return () -> Arbitraries.of(true, false)
                .map(order -> Transformer.mutate("arrive order=" + order, harness -> harness.arrive(order)));
    }

    private static Action.Independent<ControllerHarness> endAttempt() {
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
                        Transformer.mutate("end pick=" + pick + " " + end, harness -> harness.endAttempt(pick, end)));
    }

    private static Action.Independent<ControllerHarness> disconnectCaller() {
        return () -> picks().map(pick ->
                Transformer.mutate("disconnect caller " + pick, harness -> harness.disconnectCaller(pick)));
    }

    private static Action.Independent<ControllerHarness> drainServer() {
        return () ->
                picks().map(pick -> Transformer.mutate("drain server " + pick, harness -> harness.markDraining(pick)));
    }

    private static Action.Independent<ControllerHarness> reclaim() {
        return () -> picks().map(pick -> Transformer.mutate("reclaim " + pick, harness -> harness.reclaim(pick)));
    }

    private static Action.Independent<ControllerHarness> setDataCentresOut() {
        return () -> Arbitraries.of(Fixtures.DATA_CENTRES)
                .set()
                .ofMaxSize(2)
                .map(out -> Transformer.mutate(
                        "data centres out " + out, harness -> harness.setDataCentresOut(Set.copyOf(out))));
    }

    private static Action.Independent<ControllerHarness> reportLoad() {
        return () -> Combinators.combine(picks(), Arbitraries.of(true, false))
                .as((pick, warm) -> Transformer.mutate(
                        "load pick=" + pick + " warm=" + warm, harness -> harness.reportLoad(pick, warm)));
    }

    private static Action.Independent<ControllerHarness> advanceTime() {
        return () -> Arbitraries.integers()
                .between(100, MAX_ADVANCE_MILLIS)
                .map(millis -> Transformer.mutate("advance time by " + millis, harness -> harness.advanceTime(millis)));
    }

    private static Action.Independent<ControllerHarness> stepWallClock() {
        return () -> Arbitraries.integers()
                .between(-MAX_WALL_STEP_MILLIS, MAX_WALL_STEP_MILLIS)
                .map(millis ->
                        Transformer.mutate("step wall clock by " + millis, harness -> harness.stepWallClock(millis)));
    }

    private static Arbitrary<Integer> picks() {
        return Arbitraries.integers().between(0, MAX_PICK);
    }
}
