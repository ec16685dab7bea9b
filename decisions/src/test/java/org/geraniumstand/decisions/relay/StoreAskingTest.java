package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StoreAskingTest {
    private static final StoreBounds BOUNDS = new StoreBounds(3_000, 4_000);

    private final StoreAsking state = new StoreAsking(BOUNDS);

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private StoreAsking withReader() {
        state.onAnswered(100);
        state.onTold(at(0));
        return state;
    }

    @Test
    void readsStoreWithoutKnownReader() {
        state.onAnswered(100);

        assertThat(state.asks(at(0)), is(true));
    }

    @Test
    void doesNotReadStoreWhileReaderForwards() {
        assertThat(withReader().asks(at(1_000)), is(false));
    }

    @Test
    void readsStoreOnceReadersTimeOut() {
        assertThat(withReader().asks(at(1_300)), is(true));
    }

    @Test
    void readsStoreAfterMissedChangeUntilDelivered() {
        withReader().onMissed(120);
        assertThat(state.asks(at(100)), is(true));
        state.onAnswered(120);

        assertThat(state.asks(at(100)), is(false));
    }

    /** Watches deliver nothing for a second before the store drops its history. */
    @Test
    void isBehindUntilStoreDeliversMissedRevision() {
        withReader().onMissed(120);
        state.onAnswered(110);
        assertThat(state.behind(), is(true));
        state.onWhole();

        assertThat(state.behind(), is(false));
    }

    @Test
    void scalesTimeoutsWithDrainTime() {
        StoreAsking shortDrain = new StoreAsking(new StoreBounds(1_000, 4_000));
        shortDrain.onTold(at(0));

        assertThat(shortDrain.asks(at(600)), is(false));
        assertThat(shortDrain.asks(at(601)), is(true));
        assertThat(shortDrain.watchMillis(), is(250L));
        assertThat(state.watchMillis(), is(500L));
    }

    @Test
    void readsStoreWhileItIsReader() {
        withReader().onReader(true);

        assertThat(state.asks(at(100)), is(true));
    }
}
