package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class RelayedEventsTest {
    private final RelayedEvents events = new RelayedEvents(false);

    private static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return RelayedEvents.hash(bytes, 0, bytes.length);
    }

    /** Source: draft-eastlake-fnv, test vectors of 64-bit FNV-1a. */
    @Test
    void hashIsFnv1a() {
        assertThat(hash(""), is(0xcbf29ce484222325L));
        assertThat(hash("a"), is(0xaf63dc4c8601ec8cL));
        assertThat(hash("foobar"), is(0x85944171f73967e8L));
    }

    @Test
    void hashCoversTheBytesBetweenTheIndices() {
        byte[] bytes = "xfoobary".getBytes(StandardCharsets.UTF_8);

        assertThat(RelayedEvents.hash(bytes, 1, 7), is(hash("foobar")));
        assertThat(RelayedEvents.hash(bytes, 0, 7), is(not(hash("foobar"))));
    }

    @Test
    void eventDiffersFromAnotherOfItsNumber() {
        events.add(3, 30);
        events.add(5, 50);

        assertThat(events.differs(3, 30), is(false));
        assertThat(events.differs(5, 50), is(false));
        assertThat(events.differs(5, 30), is(true));
    }

    @Test
    void eventBetweenThoseThatWereRelayedIsAnother() {
        events.add(3, 30);
        events.add(5, 50);

        assertThat(events.differs(4, 40), is(true));
    }

    @Test
    void eventBeforeTheOldestCannotBeTold() {
        assertThat(events.differs(1, 10), is(false));

        events.add(3, 30);

        assertThat(events.differs(1, 10), is(false));
    }

    @Test
    void eventBeforeTheOldestIsAnotherWhereAllAreKept() {
        RelayedEvents whole = new RelayedEvents(true);
        whole.add(3, 30);

        assertThat(whole.differs(1, 10), is(true));
        for (int i = 4; i <= RelayedEvents.MAX_EVENTS + 3; i++) {
            whole.add(i, 10L * i);
        }
        assertThat(whole.differs(1, 10), is(false));
    }

    @Test
    void keepsTheLatestEvents() {
        int added = 3 * RelayedEvents.MAX_EVENTS;
        for (int i = 1; i <= added; i++) {
            events.add(i, 10L * i);
        }

        assertThat(events.differs(1, 0), is(false));
        for (int i = added - RelayedEvents.MAX_EVENTS / 2 + 1; i <= added; i++) {
            assertThat(events.differs(i, 10L * i), is(false));
            assertThat(events.differs(i, 0), is(true));
        }
    }
}
