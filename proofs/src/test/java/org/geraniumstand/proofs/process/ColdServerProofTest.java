package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.geraniumstand.proofs.process.Backends.Engine;
import org.geraniumstand.standins.EngineSwitch;
import org.geraniumstand.standins.load.RequestResult;
import org.junit.jupiter.api.Test;

/** A freshly started backend server receives no more load than it can bear. */
final class ColdServerProofTest {
    private static final long SEED = 301;
    private static final int BEARS = 2;
    private static final int UNTIL_WARM = 20;

    @Test
    void coldServerBesideBusyOnesIsNotOverloaded() {
        try (Cluster cluster = Cluster.start(3, 10)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.LONG_STREAMS, SEED, 250, 25);
            Conditions.pause(2_000);
            Engine cold = cluster.backends().addEngine("dc-a", Documents.FIRST, 10);
            cold.standin().switches().set(EngineSwitch.COLD_BEARS, BEARS);
            cold.standin().switches().set(EngineSwitch.COLD, UNTIL_WARM);
            List<RequestResult> told = traffic.finish();
            assertThat(cluster.logs(), cold.standin().maxRunningWhileCold(), is(lessThanOrEqualTo(BEARS)));
            assertThat(cluster.logs(), cold.standin().receivedCompletions(), is(greaterThan(0L)));
            assertThat(Traffic.notAnswered(told), is(empty()));
        }
    }
}
