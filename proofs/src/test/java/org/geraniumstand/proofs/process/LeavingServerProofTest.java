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

/** A leaving backend server receives no new work after a few seconds. */
final class LeavingServerProofTest {
    private static final long SEED = 801;
    private static final long FEW_SECONDS_MILLIS = 4_000;
    private static final long LIST_LAG_MILLIS = 1_000;

    @Test
    void leavingServerGetsNoNewWork() {
        try (Cluster cluster = Cluster.start(2)) {
            cluster.backends().cloud().switches().set(CloudSwitch.LAG_MILLIS, LIST_LAG_MILLIS);
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.MIXED, SEED, 400, 40);
            Conditions.pause(1_500);
            Engine leaving = cluster.backends().engines().stream()
                    .max(Comparator.comparingLong(e -> e.standin().receivedCompletions()))
                    .orElseThrow();
            cluster.backends().leave(leaving.server());
            Conditions.pause(LIST_LAG_MILLIS + FEW_SECONDS_MILLIS);
            long then = leaving.standin().receivedCompletions();
            long all = cluster.backends().served();
            List<RequestResult> told = traffic.finish();
            assertThat(cluster.logs(), leaving.standin().receivedCompletions(), is(then));
            assertThat(then, is(greaterThan(0L)));
            assertThat(cluster.backends().served(), is(greaterThan(all)));
            assertThat(Traffic.notAnswered(told), is(empty()));
        }
    }
}
