package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class NewsLimitTest {
    /** Approximate size of a server's entry. */
    private static final int ENTRY_BYTES = 300;

    @Test
    void broadcastsFewServersToManyPeers() {
        assertThat(NewsLimit.test(ENTRY_BYTES, 329), is(true));
        assertThat(NewsLimit.test(7 * ENTRY_BYTES, 77), is(true));
    }

    @Test
    void broadcastsAllServersToFewPeers() {
        assertThat(NewsLimit.test(60 * ENTRY_BYTES, 6), is(true));
    }

    /** Forty servers of a data centre start to leave at once. */
    @Test
    void doesNotBroadcastManyServersToManyPeers() {
        assertThat(NewsLimit.test(40 * ENTRY_BYTES, 77), is(false));
        assertThat(NewsLimit.test(40 * ENTRY_BYTES, 329), is(false));
    }
}
