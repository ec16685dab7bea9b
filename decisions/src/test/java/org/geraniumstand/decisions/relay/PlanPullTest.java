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
    void asksAtOnceWhileItHasNone() {
        pull.onNews(PEER, 7, at(0));

        assertThat(pull.ask(at(0)), is(Optional.of(PEER)));
    }

    @Test
    void leavesTheStoreAMomentToBringAChange() {
        pull.onOwn(6);
        pull.onNews(PEER, 7, at(0));

        assertThat(pull.ask(at(250)), is(Optional.empty()));
        assertThat(pull.ask(at(350)), is(Optional.of(PEER)));
    }

    /** Changes in quick succession must not put the ask off again and again. */
    @Test
    void doesNotWaitLongerBecauseStillNewerOnesCome() {
        pull.onOwn(6);
        for (int i = 0; i < 4; i++) {
            pull.onNews(PEER, 7 + i, at(100L * i));
        }

        assertThat(pull.ask(at(350)), is(Optional.of(PEER)));
    }

    @Test
    void asksAgainOnceTheAnswerIsLost() {
        pull.onNews(PEER, 7, at(0));
        pull.ask(at(0));

        assertThat(pull.ask(at(500)), is(Optional.empty()));
        assertThat(pull.ask(at(700)), is(Optional.of(PEER)));
    }

    @Test
    void asksNobodyWhoHasNothingNewer() {
        pull.onOwn(7);
        pull.onNews(PEER, 7, at(0));
        pull.onNews(PEER, 6, at(0));

        assertThat(pull.ask(at(1_000)), is(Optional.empty()));
    }

    @Test
    void asksNoMoreOnceTheStoreBroughtIt() {
        pull.onNews(PEER, 7, at(0));
        pull.onOwn(7);

        assertThat(pull.ask(at(1_000)), is(Optional.empty()));
    }
}
