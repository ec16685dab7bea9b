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

/** Checks that a data centre that operators take out of service receives no new work after a few seconds. */
final class DataCentreOutProofTest {
    private static final long SEED = 401;
    private static final long GRACE_MILLIS = 5_000;
    private static final String OUT_OF_SERVICE = "dc-b";

    @Test
    void dataCentreOutOfServiceReceivesNoNewWorkWhenStoreGoesDown() {
        try (Cluster cluster = Cluster.start(3)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.MIXED, SEED, 500, 40);
            Conditions.pause(1_000);
            cluster.configure(TestConfigurations.initial()
                    .withGeneration(2)
                    .withDataCentresOut(Set.of(new DataCentreId(OUT_OF_SERVICE))));
            Conditions.pause(1_500);
            cluster.store().switches().set(StoreSwitch.DOWN, 1);
            Conditions.pause(GRACE_MILLIS - 1_500);
            long workAtLimit = countWork(cluster, OUT_OF_SERVICE);
            long totalAtLimit = cluster.backends().totalCompletions();
            Conditions.pause(2_000);
            cluster.store().switches().clear();
            List<RequestResult> results = traffic.finish();
            assertThat(cluster.logs(), countWork(cluster, OUT_OF_SERVICE), is(workAtLimit));
            assertThat(cluster.backends().totalCompletions(), is(greaterThan(totalAtLimit)));
            assertThat(Oracle.contradictions(results, cluster.backends().allExecutedOrders()), is(empty()));

            cluster.configure(TestConfigurations.initial().withGeneration(3));
            Conditions.await("the data centre receives work again", () -> {
                Traffic.start(cluster.caller(), Traffic.MIXED, SEED + 1, 20, 50).finish();
                return countWork(cluster, OUT_OF_SERVICE) > workAtLimit;
            });
        }
    }

    private static long countWork(Cluster cluster, String dataCentre) {
        long completions = cluster.backends().enginesIn(dataCentre).stream()
                .mapToLong(e -> e.standin().receivedCompletions())
                .sum();
        long orders = cluster.backends().orderDesks().stream()
                .filter(d -> d.server().dataCentre().value().equals(dataCentre))
                .mapToLong(d -> d.standin().executedOrders().size())
                .sum();
        return completions + orders;
    }
}
