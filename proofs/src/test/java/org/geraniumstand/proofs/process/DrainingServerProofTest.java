package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Comparator;
import java.util.List;
import org.geraniumstand.proofs.process.Backends.Engine;
import org.geraniumstand.standins.CloudSwitch;
import org.geraniumstand.standins.load.RequestResult;
import org.junit.jupiter.api.Test;

/** Checks that a draining backend server receives no new work after a few seconds. */
final class DrainingServerProofTest {
    private static final long SEED = 801;
    private static final long GRACE_MILLIS = 4_000;
    private static final long LIST_LAG_MILLIS = 1_000;

    @Test
    void drainingServerReceivesNoNewWork() {
        try (Cluster cluster = Cluster.start(2)) {
            cluster.backends().cloud().switches().set(CloudSwitch.LAG_MILLIS, LIST_LAG_MILLIS);
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.MIXED, SEED, 400, 40);
            Conditions.pause(1_500);
            Engine draining = cluster.backends().engines().stream()
                    .max(Comparator.comparingLong(e -> e.standin().receivedCompletions()))
                    .orElseThrow();
            cluster.backends().markDraining(draining.server());
            Conditions.pause(LIST_LAG_MILLIS + GRACE_MILLIS);
            long completionsAtLimit = draining.standin().receivedCompletions();
            long totalAtLimit = cluster.backends().totalCompletions();
            List<RequestResult> results = traffic.finish();
            assertThat(cluster.logs(), draining.standin().receivedCompletions(), is(completionsAtLimit));
            assertThat(completionsAtLimit, is(greaterThan(0L)));
            assertThat(cluster.backends().totalCompletions(), is(greaterThan(totalAtLimit)));
            assertThat(Traffic.unanswered(results), is(empty()));
        }
    }
}
