package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class BroadcastLimitTest {
    /** Approximate size of a server's entry. */
    private static final int ENTRY_BYTES = 300;

    @Test
    void broadcastsFewServersToManyPeers() {
        assertThat(BroadcastLimit.mayBroadcast(ENTRY_BYTES, 329), is(true));
        assertThat(BroadcastLimit.mayBroadcast(7 * ENTRY_BYTES, 77), is(true));
    }

    @Test
    void broadcastsAllServersToFewPeers() {
        assertThat(BroadcastLimit.mayBroadcast(60 * ENTRY_BYTES, 6), is(true));
    }

    /** Forty servers of a data centre start to drain at once. */
    @Test
    void doesNotBroadcastManyServersToManyPeers() {
        assertThat(BroadcastLimit.mayBroadcast(40 * ENTRY_BYTES, 77), is(false));
        assertThat(BroadcastLimit.mayBroadcast(40 * ENTRY_BYTES, 329), is(false));
    }
}
