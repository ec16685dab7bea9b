package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.proofs.process.Backends.Engine;
import org.geraniumstand.standins.EngineSwitch;
import org.geraniumstand.standins.OrderDeskSwitch;
import org.geraniumstand.standins.load.RequestResult;
import org.junit.jupiter.api.Test;

/** Checks that each caller receives the complete answer to its own request when answers are late, cut or swapped. */
final class OwnAnswerProofTest {
    private static final long SEED = 501;

    @Test
    void answersToOtherRequestsNeverReachCallers() {
        try (Cluster cluster = Cluster.start(2)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.MIXED, SEED, 200, 40);
            for (int i = 0; i < 10; i++) {
                cluster.backends().engines().get(i % 3).standin().switches().set(EngineSwitch.CROSS, 2);
                cluster.backends().orderDesks().get(i % 2).standin().switches().set(OrderDeskSwitch.CROSS, 1);
                Conditions.pause(300);
            }
            List<RequestResult> results = traffic.finish();
            assertThat(
                    cluster.logs(),
                    Oracle.contradictions(results, cluster.backends().allExecutedOrders()),
                    is(empty()));
            assertThat(completionsNotAnswered(results), is(empty()));
        }
    }

    @Test
    void answersThatBreakOffOrComeLateAreMadeWhole() {
        try (Cluster cluster = Cluster.start(2)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.MIXED, SEED + 1, 200, 40);
            List<Engine> engines = cluster.backends().engines();
            engines.get(0).standin().switches().set(EngineSwitch.CUT_MIDWAY, 5);
            engines.get(1).standin().switches().set(EngineSwitch.SILENT_MIDWAY, 3);
            engines.get(2).standin().switches().set(EngineSwitch.LATE_MILLIS, 1_500);
            engines.get(3).standin().switches().set(EngineSwitch.SILENT, 3);
            Conditions.pause(1_500);
            engines.get(4).relay().stallConnections();
            engines.get(5).relay().closeConnections();
            List<RequestResult> results = traffic.finish();
            assertThat(
                    cluster.logs(),
                    Oracle.contradictions(results, cluster.backends().allExecutedOrders()),
                    is(empty()));
            assertThat(cluster.logs(), completionsNotAnswered(results), is(empty()));
        }
    }

    private static List<RequestResult> completionsNotAnswered(List<RequestResult> results) {
        return Traffic.unanswered(results.stream()
                .filter(t -> t.kind() != RequestResult.Kind.ORDER)
                .toList());
    }
}
