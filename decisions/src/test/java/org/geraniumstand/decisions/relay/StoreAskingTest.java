package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StoreAskingTest {
    private static final StoreBounds BOUNDS = new StoreBounds(3_000, 4_000);

    private final StoreAsking asking = new StoreAsking(BOUNDS);

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private StoreAsking following() {
        asking.onAnswered(100);
        asking.onTold(at(0));
        return asking;
    }

    @Test
    void asksAsLongAsItKnowsOfNoReader() {
        asking.onAnswered(100);

        assertThat(asking.asks(at(0)), is(true));
    }

    @Test
    void leavesTheStoreAloneWhileAReaderTells() {
        assertThat(following().asks(at(1_000)), is(false));
    }

    @Test
    void asksOnceTheReadersAreSilent() {
        assertThat(following().asks(at(1_300)), is(true));
    }

    @Test
    void asksOnceItMissedAChangeUntilTheStoreAnswered() {
        following().onMissed(120);
        assertThat(asking.asks(at(100)), is(true));
        asking.onAnswered(120);

        assertThat(asking.asks(at(100)), is(false));
    }

    /** Watches hear nothing for a second before the store drops its history. */
    @Test
    void isBehindUntilTheStoreToldWhatAPeerSaw() {
        following().onMissed(120);
        asking.onAnswered(110);
        assertThat(asking.behind(), is(true));
        asking.onWhole();

        assertThat(asking.behind(), is(false));
    }

    @Test
    void asksAndWaitsWithinTheTimeInWhichAServerLeaves() {
        StoreAsking brief = new StoreAsking(new StoreBounds(1_000, 4_000));
        brief.onTold(at(0));

        assertThat(brief.asks(at(600)), is(false));
        assertThat(brief.asks(at(601)), is(true));
        assertThat(brief.watchMillis(), is(250L));
        assertThat(asking.watchMillis(), is(500L));
    }

    @Test
    void asksWhileItIsAReaderItself() {
        following().onReader(true);

        assertThat(asking.asks(at(100)), is(true));
    }
}
