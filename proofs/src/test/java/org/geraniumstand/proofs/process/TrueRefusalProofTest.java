package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.proofs.process.Backends.Desk;
import org.geraniumstand.standins.OrderDeskSwitch;
import org.geraniumstand.standins.StoreSwitch;
import org.geraniumstand.standins.TcpRelaySwitch;
import org.geraniumstand.standins.load.RequestResult;
import org.geraniumstand.standins.load.RequestResult.Verdict;
import org.junit.jupiter.api.Test;

/** A refusal that says a request was not run is true. */
final class TrueRefusalProofTest {
    private static final long SEED = 601;

    @Test
    void refusedOrdersNeverRan() {
        try (Cluster cluster = Cluster.start(2)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.ORDERS, SEED, 400, 50);
            List<Desk> desks = cluster.backends().desks();
            for (int round = 0; round < 3; round++) {
                faults(cluster, desks);
            }
            List<RequestResult> told = traffic.finish();
            assertThat(
                    cluster.logs(),
                    Oracle.contradictions(told, cluster.backends().ran()),
                    is(empty()));
            List<Verdict> verdicts =
                    told.stream().map(RequestResult::verdict).distinct().toList();
            assertThat(verdicts, hasItem(Verdict.ANSWERED));
            assertThat(verdicts, hasItem(Verdict.NOT_RUN));
            assertThat(verdicts, hasItem(Verdict.UNKNOWN));
        }
    }

    private static void faults(Cluster cluster, List<Desk> desks) {
        desks.get(0).standin().switches().set(OrderDeskSwitch.CUT_AFTER, 3);
        desks.get(1).standin().switches().set(OrderDeskSwitch.DECLINE, 8);
        desks.get(2).standin().switches().set(OrderDeskSwitch.CUT_BEFORE, 2);
        Conditions.pause(600);
        desks.get(0).standin().switches().set(OrderDeskSwitch.ERROR_AFTER, 2);
        desks.get(1).standin().switches().set(OrderDeskSwitch.SILENT_AFTER, 2);
        desks.get(2).relay().switches().set(TcpRelaySwitch.DEAF, 2);
        Conditions.pause(600);
        desks.get(2).relay().closeConnections();
        desks.forEach(desk -> desk.relay().switches().set(TcpRelaySwitch.REFUSE, -1));
        Conditions.pause(300);
        desks.forEach(desk -> desk.relay().switches().clear());
        cluster.store().switches().set(StoreSwitch.DOWN, 1);
        Conditions.pause(600);
        cluster.store().switches().clear();
    }
}
