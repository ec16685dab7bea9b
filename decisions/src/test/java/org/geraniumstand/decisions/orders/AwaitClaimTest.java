package org.geraniumstand.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.junit.jupiter.api.Test;

final class AwaitClaimTest {
    private static final ProcessId HOLDER = new ProcessId("p1");

    @Test
    void waitsWhileHolderIsLiveBeforeDeadline() {
        assertThat(AwaitClaim.shouldWait(HOLDER, Set.of(HOLDER), 9, 10), is(true));
    }

    @Test
    void stopsWhenHolderIsNotLive() {
        assertThat(AwaitClaim.shouldWait(HOLDER, Set.of(new ProcessId("p2")), 9, 10), is(false));
    }

    @Test
    void stopsAtDeadline() {
        assertThat(AwaitClaim.shouldWait(HOLDER, Set.of(HOLDER), 10, 10), is(false));
    }
}
