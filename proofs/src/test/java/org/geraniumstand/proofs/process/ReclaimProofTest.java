package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.proofs.process.Backends.Engine;
import org.geraniumstand.standins.load.RequestResult;
import org.junit.jupiter.api.Test;

/** Checks that an accepted request survives announced reclaims of the host that serves it. */
final class ReclaimProofTest {
    private static final long SEED = 101;
    private static final int TOKEN_MILLIS = 25;
    private static final long NOTICE_MILLIS = 2_500;

    @Test
    void streamsSurviveReclaimWhileOtherDataCentreIsOutOfService() {
        try (Cluster cluster = Cluster.start(2, TOKEN_MILLIS)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.LONG_STREAMS, SEED, 120, 15);
            Conditions.pause(2_000);
            cluster.configure(TestConfigurations.initial()
                    .withGeneration(2)
                    .withDataCentresOut(Set.of(new DataCentreId("dc-c"))));
            reclaim(cluster, cluster.backends().enginesIn("dc-a"));
            List<RequestResult> results = traffic.finish();
            assertThat(cluster.logs(), Traffic.unanswered(results), is(empty()));
            assertThat(results.stream().filter(t -> t.restarts() > 0).toList(), is(empty()));
        }
    }

    @Test
    void streamsSurviveTwoReclaimWaves() {
        try (Cluster cluster = Cluster.start(2, TOKEN_MILLIS)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.LONG_STREAMS, SEED + 1, 120, 15);
            Conditions.pause(1_500);
            List<Engine> first = new ArrayList<>(cluster.backends().enginesIn("dc-a"));
            reclaim(cluster, first);
            reclaim(cluster, cluster.backends().enginesIn("dc-b"));
            List<RequestResult> results = traffic.finish();
            assertThat(cluster.logs(), Traffic.unanswered(results), is(empty()));
            assertThat(results.stream().filter(t -> t.restarts() > 0).toList(), is(empty()));
        }
    }

    private static void reclaim(Cluster cluster, List<Engine> engines) {
        long due = System.currentTimeMillis() + NOTICE_MILLIS;
        cluster.backends()
                .cloud()
                .addReclaimNotices(engines.stream()
                        .map(e -> new ReclaimNotice(e.server().host(), due))
                        .toList());
        Conditions.pause(NOTICE_MILLIS);
        engines.forEach(cluster.backends()::destroy);
    }
}
