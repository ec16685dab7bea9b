package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.proofs.process.Backends.Engine;
import org.geraniumstand.standins.EngineSwitch;
import org.geraniumstand.standins.load.RequestResult;
import org.junit.jupiter.api.Test;

/** Checks that a bad version receives only its first share of traffic, and none shortly after its detection. */
final class BadVersionProofTest {
    private static final long SEED = 201;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int SHARE_PERCENT = 5;
    private static final int REQUESTS = 200;
    private static final long MAX_REQUESTS = 2_000;
    private static final String BAD_VERSION_EVENT = "event=version-bad";
    private static final long GRACE_MILLIS = 3_000;

    @Test
    void failingVersionReceivesAtMostFirstShareAndNothingAfterDetection() {
        try (Cluster cluster = Cluster.start(2, 2)) {
            List<Engine> badEngines = new ArrayList<>();
            for (String dataCentre : TestConfigurations.DATA_CENTRES) {
                Engine engine = cluster.backends().addEngine(dataCentre, TestConfigurations.NEW_VERSION, 2);
                engine.standin().switches().set(EngineSwitch.FAIL, -1);
                badEngines.add(engine);
            }
            cluster.configure(TestConfigurations.initial().withGeneration(2).withMoves(List.of(move())));
            long sent = 0;
            while (!cluster.hosts().stream().allMatch(h -> h.log().contains(BAD_VERSION_EVENT))
                    && sent < MAX_REQUESTS) {
                List<RequestResult> results = Traffic.start(cluster.caller(), Traffic.MIXED, SEED + sent, REQUESTS, 50)
                        .finish();
                assertThat(cluster.logs(), Traffic.unanswered(results), is(empty()));
                sent += REQUESTS;
            }
            assertThat(cluster.logs(), sent, is(lessThan(MAX_REQUESTS)));
            assertThat(cluster.logs(), completions(badEngines), is(greaterThan(0L)));
            assertThat(completions(badEngines), is(lessThanOrEqualTo(sent * SHARE_PERCENT / 100)));

            Conditions.pause(GRACE_MILLIS);
            long completionsAtDetection = completions(badEngines);
            Traffic.start(cluster.caller(), Traffic.MIXED, SEED - 1, REQUESTS, 50)
                    .finish();
            assertThat(cluster.logs(), completions(badEngines), is(completionsAtDetection));
        }
    }

    private static VersionMove move() {
        long now = System.currentTimeMillis();
        return new VersionMove(
                new MoveId("to-v2"),
                TestConfigurations.MODEL,
                TestConfigurations.OLD_VERSION,
                TestConfigurations.NEW_VERSION,
                now,
                now + HOUR_MILLIS,
                SHARE_PERCENT,
                MoveState.UNDER_WAY,
                "");
    }

    private static long completions(List<Engine> engines) {
        return engines.stream()
                .mapToLong(e -> e.standin().receivedCompletions())
                .sum();
    }
}
