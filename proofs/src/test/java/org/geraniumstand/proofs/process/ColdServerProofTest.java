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

/** Checks that a newly started backend server receives no more concurrent requests than it can handle while cold. */
final class ColdServerProofTest {
    private static final long SEED = 301;
    private static final int COLD_CONCURRENCY = 2;
    private static final int COMPLETIONS_UNTIL_WARM = 20;

    @Test
    void coldServerIsNotOverloadedWhenOtherServersAreBusy() {
        try (Cluster cluster = Cluster.start(3, 10)) {
            Traffic traffic = Traffic.start(cluster.caller(), Traffic.LONG_STREAMS, SEED, 250, 25);
            Conditions.pause(2_000);
            Engine cold = cluster.backends().addEngine("dc-a", TestConfigurations.OLD_VERSION, 10);
            cold.standin().switches().set(EngineSwitch.COLD_BEARS, COLD_CONCURRENCY);
            cold.standin().switches().set(EngineSwitch.COLD, COMPLETIONS_UNTIL_WARM);
            List<RequestResult> results = traffic.finish();
            assertThat(cluster.logs(), cold.standin().maxRunningWhileCold(), is(lessThanOrEqualTo(COLD_CONCURRENCY)));
            assertThat(cluster.logs(), cold.standin().receivedCompletions(), is(greaterThan(0L)));
            assertThat(Traffic.unanswered(results), is(empty()));
        }
    }
}
