package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.relay.StoreEntry;
import org.junit.jupiter.api.Test;

final class EntryChangeTest {
    private static EntryChange.Observed observed(String server, long coldMillis, long atMillis) {
        return new EntryChange.Observed(
                new StoreEntry.ServerEntry(Calls.server(server, Calls.PLAIN_SERVICE, Calls.WEST, coldMillis)),
                atMillis * Calls.MILLI);
    }

    private static boolean changed(EntryChange.Observed before, EntryChange.Observed next) {
        return EntryChange.isChange(before, next);
    }

    @Test
    void reportsChangeForNewEntry() {
        assertThat(changed(null, observed("s", 0, 0)), is(true));
    }

    @Test
    void reportsNoChangeForIdenticalServer() {
        assertThat(changed(observed("s", 0, 0), observed("s", 0, 1_200)), is(false));
    }

    /** Sixty servers that started together count down their warm-up with each heartbeat. */
    @Test
    void reportsNoChangeWhileColdServerCountsDown() {
        assertThat(changed(observed("s", 3_000, 0), observed("s", 1_800, 1_200)), is(false));
        assertThat(changed(observed("s", 3_000, 0), observed("s", 620, 2_400)), is(false));
        assertThat(changed(observed("s", 3_000, 0), observed("s", 0, 3_600)), is(false));
    }

    @Test
    void reportsChangeWhenServerTurnsCold() {
        assertThat(changed(observed("s", 0, 0), observed("s", 3_000, 1_200)), is(true));
        assertThat(changed(observed("s", 3_000, 0), observed("s", 3_000, 1_200)), is(true));
    }

    @Test
    void reportsChangeWhenServerIsWarmMuchEarlier() {
        assertThat(changed(observed("s", 3_000, 0), observed("s", 0, 1_200)), is(true));
    }

    @Test
    void reportsChangeOfAnyOtherField() {
        assertThat(changed(observed("s", 0, 0), observed("other", 0, 1_200)), is(true));
        assertThat(
                changed(
                        observed("s", 0, 0),
                        new EntryChange.Observed(new StoreEntry.Unreadable("reason"), 1_200 * Calls.MILLI)),
                is(true));
    }
}
