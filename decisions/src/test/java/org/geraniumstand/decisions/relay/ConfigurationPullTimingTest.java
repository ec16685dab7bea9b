package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.junit.jupiter.api.Test;

final class ConfigurationPullTimingTest {
    private static final ProcessId PEER = new ProcessId("peer");

    private final ConfigurationPullTiming pull = new ConfigurationPullTiming();

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    @Test
    void requestsImmediatelyWithoutConfiguration() {
        pull.onPeerVersion(PEER, 7, at(0));

        assertThat(pull.peerToRequest(at(0)), is(Optional.of(PEER)));
    }

    @Test
    void givesStoreTimeToDeliverChange() {
        pull.onOwnVersion(6);
        pull.onPeerVersion(PEER, 7, at(0));

        assertThat(pull.peerToRequest(at(250)), is(Optional.empty()));
        assertThat(pull.peerToRequest(at(350)), is(Optional.of(PEER)));
    }

    /** Changes in quick succession must not postpone the request indefinitely. */
    @Test
    void doesNotExtendWaitForNewerVersions() {
        pull.onOwnVersion(6);
        for (int i = 0; i < 4; i++) {
            pull.onPeerVersion(PEER, 7 + i, at(100L * i));
        }

        assertThat(pull.peerToRequest(at(350)), is(Optional.of(PEER)));
    }

    @Test
    void requestsAgainAfterTimeout() {
        pull.onPeerVersion(PEER, 7, at(0));
        pull.peerToRequest(at(0));

        assertThat(pull.peerToRequest(at(500)), is(Optional.empty()));
        assertThat(pull.peerToRequest(at(700)), is(Optional.of(PEER)));
    }

    @Test
    void requestsNothingFromPeersWithoutNewerVersion() {
        pull.onOwnVersion(7);
        pull.onPeerVersion(PEER, 7, at(0));
        pull.onPeerVersion(PEER, 6, at(0));

        assertThat(pull.peerToRequest(at(1_000)), is(Optional.empty()));
    }

    @Test
    void requestsNothingOnceStoreDelivered() {
        pull.onPeerVersion(PEER, 7, at(0));
        pull.onOwnVersion(7);

        assertThat(pull.peerToRequest(at(1_000)), is(Optional.empty()));
    }
}
