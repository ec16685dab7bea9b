package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.standins.load.Load;
import org.geraniumstand.standins.load.Profile;
import org.geraniumstand.standins.load.RequestResult;
import org.junit.jupiter.api.Test;

/** Checks that real processes answer all requests when no fault is injected. */
final class ClusterTest {
    private static final long SEED = 11;

    @Test
    void allRequestsAreAnsweredWithoutFaults() throws InterruptedException {
        try (Cluster cluster = Cluster.start(2)) {
            Load load = new Load(List.of(cluster.caller()), Profile.HEARTHGUARD, SEED, "calm");
            List<RequestResult> results = load.run(100, 5_000, 40);
            assertThat(
                    cluster.logs(),
                    Oracle.contradictions(results, cluster.backends().allExecutedOrders()),
                    is(empty()));
            assertThat(
                    results.stream()
                            .filter(t -> t.verdict() != RequestResult.Verdict.ANSWERED)
                            .toList(),
                    is(empty()));
        }
    }
}
