package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.junit.jupiter.api.Test;

final class PlanPullTest {
    private static final ProcessId PEER = new ProcessId("peer");

    private final PlanPull pull = new PlanPull();

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    @Test
    void requestsImmediatelyWithoutConfiguration() {
        pull.onNews(PEER, 7, at(0));

        assertThat(pull.ask(at(0)), is(Optional.of(PEER)));
    }

    @Test
    void givesStoreTimeToDeliverChange() {
        pull.onOwn(6);
        pull.onNews(PEER, 7, at(0));

        assertThat(pull.ask(at(250)), is(Optional.empty()));
        assertThat(pull.ask(at(350)), is(Optional.of(PEER)));
    }

    /** Changes in quick succession must not postpone the request indefinitely. */
    @Test
    void doesNotExtendWaitForNewerVersions() {
        pull.onOwn(6);
        for (int i = 0; i < 4; i++) {
            pull.onNews(PEER, 7 + i, at(100L * i));
        }

        assertThat(pull.ask(at(350)), is(Optional.of(PEER)));
    }

    @Test
    void requestsAgainAfterTimeout() {
        pull.onNews(PEER, 7, at(0));
        pull.ask(at(0));

        assertThat(pull.ask(at(500)), is(Optional.empty()));
        assertThat(pull.ask(at(700)), is(Optional.of(PEER)));
    }

    @Test
    void requestsNothingFromPeersWithoutNewerVersion() {
        pull.onOwn(7);
        pull.onNews(PEER, 7, at(0));
        pull.onNews(PEER, 6, at(0));

        assertThat(pull.ask(at(1_000)), is(Optional.empty()));
    }

    @Test
    void requestsNothingOnceStoreDelivered() {
        pull.onNews(PEER, 7, at(0));
        pull.onOwn(7);

        assertThat(pull.ask(at(1_000)), is(Optional.empty()));
    }
}
