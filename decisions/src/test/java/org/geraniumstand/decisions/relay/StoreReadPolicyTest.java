package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StoreReadPolicyTest {
    private static final StoreBounds BOUNDS = new StoreBounds(3_000, 4_000);

    private final StoreReadPolicy state = new StoreReadPolicy(BOUNDS);

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private StoreReadPolicy withReader() {
        state.onDelivered(100);
        state.onForwarded(at(0));
        return state;
    }

    @Test
    void readsStoreWithoutKnownReader() {
        state.onDelivered(100);

        assertThat(state.shouldRead(at(0)), is(true));
    }

    @Test
    void doesNotReadStoreWhileReaderForwards() {
        assertThat(withReader().shouldRead(at(1_000)), is(false));
    }

    @Test
    void readsStoreOnceReadersTimeOut() {
        assertThat(withReader().shouldRead(at(1_300)), is(true));
    }

    @Test
    void readsStoreAfterMissedChangeUntilDelivered() {
        withReader().onMissed(120);
        assertThat(state.shouldRead(at(100)), is(true));
        state.onDelivered(120);

        assertThat(state.shouldRead(at(100)), is(false));
    }

    /** Watches deliver nothing for a second before the store drops its history. */
    @Test
    void isBehindUntilStoreDeliversMissedRevision() {
        withReader().onMissed(120);
        state.onDelivered(110);
        assertThat(state.behind(), is(true));
        state.onFullRead();

        assertThat(state.behind(), is(false));
    }

    @Test
    void scalesTimeoutsWithDrainTime() {
        StoreReadPolicy shortDrain = new StoreReadPolicy(new StoreBounds(1_000, 4_000));
        shortDrain.onForwarded(at(0));

        assertThat(shortDrain.shouldRead(at(600)), is(false));
        assertThat(shortDrain.shouldRead(at(601)), is(true));
        assertThat(shortDrain.watchMillis(), is(250L));
        assertThat(state.watchMillis(), is(500L));
    }

    @Test
    void readsStoreWhileItIsReader() {
        withReader().onReader(true);

        assertThat(state.shouldRead(at(100)), is(true));
    }
}
