package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.relay.StoreRevision;
import org.junit.jupiter.api.Test;

final class StoreReadPolicyTest {
    private static final StoreBounds BOUNDS = new StoreBounds(3_000, 4_000);

    private final StoreReadPolicy policy = new StoreReadPolicy(BOUNDS);

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private StoreReadPolicy withReader() {
        policy.onDelivered(new StoreRevision(3, 100));
        policy.onForwarded(at(0));
        return policy;
    }

    @Test
    void readsStoreWithoutKnownReader() {
        policy.onDelivered(new StoreRevision(3, 100));

        assertThat(policy.shouldRead(at(0)), is(true));
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
        withReader().onMissed(new StoreRevision(3, 120));
        assertThat(policy.shouldRead(at(100)), is(true));
        policy.onDelivered(new StoreRevision(3, 120));

        assertThat(policy.shouldRead(at(100)), is(false));
    }

    /** Watches deliver nothing for a second before the store drops its history. */
    @Test
    void isBehindUntilStoreDeliversMissedRevision() {
        withReader().onMissed(new StoreRevision(3, 120));
        policy.onDelivered(new StoreRevision(3, 110));
        assertThat(policy.behind(), is(true));
        policy.onFullRead();

        assertThat(policy.behind(), is(false));
    }

    @Test
    void scalesTimeoutsWithDrainTime() {
        StoreReadPolicy shortDrain = new StoreReadPolicy(new StoreBounds(1_000, 4_000));
        shortDrain.onForwarded(at(0));

        assertThat(shortDrain.shouldRead(at(600)), is(false));
        assertThat(shortDrain.shouldRead(at(601)), is(true));
        assertThat(shortDrain.watchMillis(), is(250L));
        assertThat(policy.watchMillis(), is(500L));
    }

    @Test
    void readsStoreWhileItIsReader() {
        withReader().onReader(true);

        assertThat(policy.shouldRead(at(100)), is(true));
    }
}
