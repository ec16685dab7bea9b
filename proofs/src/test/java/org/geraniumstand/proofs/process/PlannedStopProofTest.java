package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.standins.load.RequestResult;
import org.geraniumstand.standins.load.RequestResult.Verdict;
import org.junit.jupiter.api.Test;

/** Every planned stop is a graceful shutdown that cuts off no request. */
final class PlannedStopProofTest {
    private static final long SEED = 901;
    private static final int TOKEN_MILLIS = 25;

    @Test
    void streamsOutliveTheReplacementOfAllEntryHosts() {
        try (Cluster cluster = Cluster.start(3, TOKEN_MILLIS)) {
            Traffic streams = Traffic.start(cluster.caller(), Traffic.LONG_STREAMS, SEED, 150, 10);
            replaceAll(cluster);
            List<RequestResult> told = streams.finish();
            assertThat(cluster.logs(), Traffic.notAnswered(accepted(told)), is(empty()));
            assertThat(told.stream().filter(t -> t.restarts() > 0).toList(), is(empty()));
        }
    }

    @Test
    void ordersAndCompletionsAreAnsweredDuringTheReplacement() {
        try (Cluster cluster = Cluster.start(3, TOKEN_MILLIS)) {
            Traffic mixed = Traffic.start(cluster.caller(), Traffic.MIXED, SEED + 1, 300, 20);
            replaceAll(cluster);
            List<RequestResult> told = mixed.finish();
            assertThat(Oracle.contradictions(told, cluster.backends().ran()), is(empty()));
            assertThat(cluster.logs(), Traffic.notAnswered(accepted(told)), is(empty()));
        }
    }

    private static void replaceAll(Cluster cluster) {
        Conditions.pause(2_000);
        for (EntryHost old : cluster.hosts()) {
            old.terminate();
            old.awaitExit();
            assertThat(old.log(), containsString("event=process-stopped"));
            EntryHost fresh = cluster.replace(old);
            Conditions.await("the new process is ready", fresh::ready);
        }
    }

    /** Leaves out what a stopping process truthfully refused on a connection that was open since before the stop. */
    private static List<RequestResult> accepted(List<RequestResult> told) {
        return told.stream()
                .filter(t -> t.verdict() != Verdict.NOT_RUN || !t.detail().endsWith(" stopping"))
                .toList();
    }
}
