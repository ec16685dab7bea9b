package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.relay.StoreFact;
import org.junit.jupiter.api.Test;

final class EntryNewsTest {
    private static EntryNews.Heard heard(String server, long coldMillis, long atMillis) {
        return new EntryNews.Heard(
                new StoreFact.Listed(Calls.server(server, Calls.DESK, Calls.WEST, coldMillis)), atMillis * Calls.MILLI);
    }

    private static boolean news(EntryNews.Heard before, EntryNews.Heard next) {
        return EntryNews.test(before, next);
    }

    @Test
    void isNewsWhereThereWasNoEntry() {
        assertThat(news(null, heard("s", 0, 0)), is(true));
    }

    @Test
    void isNoNewsThatAServerIsAsItWas() {
        assertThat(news(heard("s", 0, 0), heard("s", 0, 1_200)), is(false));
    }

    /** Sixty servers that were started together count down with each heartbeat. */
    @Test
    void isNoNewsThatAColdServerCountsDown() {
        assertThat(news(heard("s", 3_000, 0), heard("s", 1_800, 1_200)), is(false));
        assertThat(news(heard("s", 3_000, 0), heard("s", 620, 2_400)), is(false));
        assertThat(news(heard("s", 3_000, 0), heard("s", 0, 3_600)), is(false));
    }

    @Test
    void isNewsThatAServerTurnsCold() {
        assertThat(news(heard("s", 0, 0), heard("s", 3_000, 1_200)), is(true));
        assertThat(news(heard("s", 3_000, 0), heard("s", 3_000, 1_200)), is(true));
    }

    @Test
    void isNewsThatAServerIsWarmMuchEarlier() {
        assertThat(news(heard("s", 3_000, 0), heard("s", 0, 1_200)), is(true));
    }

    @Test
    void isNewsThatAnythingElseChanged() {
        assertThat(news(heard("s", 0, 0), heard("other", 0, 1_200)), is(true));
        assertThat(
                news(heard("s", 0, 0), new EntryNews.Heard(new StoreFact.Unreadable("reason"), 1_200 * Calls.MILLI)),
                is(true));
    }
}
