package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.standins.StoreSwitch;
import org.geraniumstand.standins.load.RequestResult;
import org.junit.jupiter.api.Test;

/** A data centre taken out by operators receives no new work after a few seconds. */
final class DataCentreOutProofTest {
    private static final long SEED = 401;
    private static final long FEW_SECONDS_MILLIS = 5_000;
    private static final String OUT = "dc-b";

    @Test
    void dataCentreOutGetsNoNewWorkThoughTheStoreGoesDown() {
        try (Cluster cluster = Cluster.start(3)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.MIXED, SEED, 500, 40);
            Conditions.pause(1_000);
            cluster.configure(Documents.first().withGeneration(2).withDataCentresOut(Set.of(new DataCentreId(OUT))));
            Conditions.pause(1_500);
            cluster.store().switches().set(StoreSwitch.DOWN, 1);
            Conditions.pause(FEW_SECONDS_MILLIS - 1_500);
            long then = work(cluster, OUT);
            long all = cluster.backends().served();
            Conditions.pause(2_000);
            cluster.store().switches().clear();
            List<RequestResult> told = traffic.finish();
            assertThat(cluster.logs(), work(cluster, OUT), is(then));
            assertThat(cluster.backends().served(), is(greaterThan(all)));
            assertThat(Oracle.contradictions(told, cluster.backends().ran()), is(empty()));

            cluster.configure(Documents.first().withGeneration(3));
            Conditions.await("the data centre gets work again", () -> {
                Traffic.start(cluster.caller(), Traffic.MIXED, SEED + 1, 20, 50).finish();
                return work(cluster, OUT) > then;
            });
        }
    }

    private static long work(Cluster cluster, String dataCentre) {
        long completions = cluster.backends().enginesIn(dataCentre).stream()
                .mapToLong(e -> e.standin().receivedCompletions())
                .sum();
        long orders = cluster.backends().desks().stream()
                .filter(d -> d.server().dataCentre().value().equals(dataCentre))
                .mapToLong(d -> d.standin().executedOrders().size())
                .sum();
        return completions + orders;
    }
}
