package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.relay.RelayServer;
import org.junit.jupiter.api.Test;

final class ServerNoticesTest {
    private static final RelayServer SERVER = Calls.startedAt("s", Calls.ENGINE_SERVICE, 100);
    private static final RelayServer LATER = Calls.startedAt("s", Calls.ENGINE_SERVICE, 200);
    private static final RelayServer OTHER = Calls.startedAt("t", Calls.ENGINE_SERVICE, 100);

    private final ServerNotices notices = new ServerNotices();

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    @Test
    void remembersLeavingServerUntilALaterStart() {
        assertThat(notices.onLeaving(SERVER), is(true));
        assertThat(notices.onLeaving(SERVER), is(false));

        assertThat(notices.isLeaving(SERVER), is(true));
        assertThat(notices.isLeaving(LATER), is(false));
        assertThat(notices.isLeaving(OTHER), is(false));
    }

    @Test
    void countsPauseDown() {
        notices.onPause(SERVER, 1_000, at(500));

        assertThat(notices.pauseMillis(SERVER, at(500)), is(1_000L));
        assertThat(notices.pauseMillis(SERVER, at(1_400)), is(100L));
        assertThat(notices.pauseMillis(SERVER, at(1_500)), is(0L));
        assertThat(notices.pauseMillis(OTHER, at(500)), is(0L));
    }

    @Test
    void keepsTheLongerOfTwoPauses() {
        notices.onPause(SERVER, 1_000, at(0));
        notices.onPause(SERVER, 100, at(500));

        assertThat(notices.pauseMillis(SERVER, at(600)), is(400L));
    }

    @Test
    void endsPauseWithALaterStart() {
        notices.onPause(SERVER, 1_000, at(0));

        assertThat(notices.pauseMillis(LATER, at(100)), is(0L));
    }

    @Test
    void keepsBothNotices() {
        notices.onLeaving(SERVER);
        notices.onPause(SERVER, 1_000, at(0));

        assertThat(notices.isLeaving(SERVER), is(true));
        assertThat(notices.pauseMillis(SERVER, at(100)), is(900L));
    }
}
