package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.proofs.process.Backends.OrderDesk;
import org.geraniumstand.standins.OrderDeskSwitch;
import org.geraniumstand.standins.StoreSwitch;
import org.geraniumstand.standins.TcpRelaySwitch;
import org.geraniumstand.standins.load.RequestResult;
import org.geraniumstand.standins.load.RequestResult.Verdict;
import org.junit.jupiter.api.Test;

/** Checks that a request that is refused as not run did not run. */
final class RefusalProofTest {
    private static final long SEED = 601;

    @Test
    void ordersRefusedAsNotRunNeverRan() {
        try (Cluster cluster = Cluster.start(2)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.ORDERS, SEED, 400, 50);
            List<OrderDesk> orderDesks = cluster.backends().orderDesks();
            for (int round = 0; round < 3; round++) {
                injectFaults(cluster, orderDesks);
            }
            List<RequestResult> results = traffic.finish();
            assertThat(
                    cluster.logs(),
                    Oracle.contradictions(results, cluster.backends().allExecutedOrders()),
                    is(empty()));
            List<Verdict> verdicts =
                    results.stream().map(RequestResult::verdict).distinct().toList();
            assertThat(verdicts, hasItem(Verdict.ANSWERED));
            assertThat(verdicts, hasItem(Verdict.NOT_RUN));
            assertThat(verdicts, hasItem(Verdict.UNKNOWN));
        }
    }

    private static void injectFaults(Cluster cluster, List<OrderDesk> orderDesks) {
        orderDesks.get(0).standin().switches().set(OrderDeskSwitch.CUT_AFTER, 3);
        orderDesks.get(1).standin().switches().set(OrderDeskSwitch.DECLINE, 8);
        orderDesks.get(2).standin().switches().set(OrderDeskSwitch.CUT_BEFORE, 2);
        Conditions.pause(600);
        orderDesks.get(0).standin().switches().set(OrderDeskSwitch.ERROR_AFTER, 2);
        orderDesks.get(1).standin().switches().set(OrderDeskSwitch.SILENT_AFTER, 2);
        orderDesks.get(2).relay().switches().set(TcpRelaySwitch.DEAF, 2);
        Conditions.pause(600);
        orderDesks.get(2).relay().closeConnections();
        orderDesks.forEach(desk -> desk.relay().switches().set(TcpRelaySwitch.REFUSE, -1));
        Conditions.pause(300);
        orderDesks.forEach(desk -> desk.relay().switches().clear());
        cluster.store().switches().set(StoreSwitch.DOWN, 1);
        Conditions.pause(600);
        cluster.store().switches().clear();
    }
}
