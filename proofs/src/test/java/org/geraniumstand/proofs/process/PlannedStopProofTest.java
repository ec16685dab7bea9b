package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.standins.load.RequestResult;
import org.geraniumstand.standins.load.RequestResult.Verdict;
import org.junit.jupiter.api.Test;

/** Checks that a planned stop is a graceful shutdown that interrupts no request. */
final class PlannedStopProofTest {
    private static final long SEED = 901;
    private static final int TOKEN_MILLIS = 25;

    @Test
    void streamsOutliveTheReplacementOfAllEntryHosts() {
        try (Cluster cluster = Cluster.start(3, TOKEN_MILLIS)) {
            Traffic streams = Traffic.start(cluster.caller(), Traffic.LONG_STREAMS, SEED, 150, 10);
            replaceAll(cluster);
            List<RequestResult> results = streams.finish();
            assertThat(cluster.logs(), Traffic.unanswered(accepted(results)), is(empty()));
            assertThat(results.stream().filter(t -> t.restarts() > 0).toList(), is(empty()));
        }
    }

    @Test
    void ordersAndCompletionsAreAnsweredDuringReplacementOfAllEntryHosts() {
        try (Cluster cluster = Cluster.start(3, TOKEN_MILLIS)) {
            Traffic mixed = Traffic.start(cluster.caller(), Traffic.MIXED, SEED + 1, 300, 20);
            replaceAll(cluster);
            List<RequestResult> results = mixed.finish();
            assertThat(Oracle.contradictions(results, cluster.backends().allExecutedOrders()), is(empty()));
            assertThat(cluster.logs(), Traffic.unanswered(accepted(results)), is(empty()));
        }
    }

    private static void replaceAll(Cluster cluster) {
        Conditions.pause(2_000);
        for (EntryHost stopping : cluster.hosts()) {
            stopping.terminate();
            stopping.awaitExit();
            assertThat(stopping.log(), containsString("event=process-stopped"));
            EntryHost replacement = cluster.replace(stopping);
            Conditions.await("the new process is ready", replacement::ready);
        }
    }

    /** Excludes requests that a stopping process refused as not run on a connection opened before the stop. */
    private static List<RequestResult> accepted(List<RequestResult> results) {
        return results.stream()
                .filter(t -> t.verdict() != Verdict.NOT_RUN || !t.detail().endsWith(" stopping"))
                .toList();
    }
}
