package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.junit.jupiter.api.Test;

final class LeaderElectionTest {
    private static final long TTL = 3_000;
    private static final long SOON = 2_900;
    private static final long LATE = 5_000;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private final LeaderElection lease = lease("one");

    private LeaderElection lease(String holder) {
        return new LeaderElection(store, timer, new Random(1), holder, TTL);
    }

    private void pass() {
        for (int i = 0; i < 4; i++) {
            timer.run(SOON);
        }
    }

    @Test
    void takesADutyThatNobodyHolds() {
        lease.start();
        pass();

        assertThat(lease.claim().orElseThrow().holder(), is("one"));
        assertThat(store.value(LeaderElection.KEY).orElseThrow(), is("one"));
    }

    @Test
    void leavesADutyThatAnotherHolds() {
        lease.start();
        pass();
        LeaderElection other = lease("two");
        other.start();
        pass();

        assertThat(other.claim().isPresent(), is(false));
    }

    @Test
    void losesTheDutyWithItsLeaseAndTakesItUnderAHigherFence() {
        lease.start();
        pass();
        long before = lease.claim().orElseThrow().fence();
        store.lapse(store.lastLease());
        timer.run(SOON);
        assertThat(lease.claim().isPresent(), is(false));
        lease.onRecord(false);
        pass();

        assertThat(lease.claim().orElseThrow().fence(), greaterThan(before));
    }

    @Test
    void givesTheDutyBackAtItsEnd() {
        lease.start();
        pass();
        lease.end();

        assertThat(store.value(LeaderElection.KEY).isPresent(), is(false));
        pass();
        assertThat(lease.claim().isPresent(), is(false));
    }

    @Test
    void stopsActingWhenAHigherFenceWasSeen() {
        lease.start();
        pass();
        lease.onFenced();

        assertThat(lease.claim().isPresent(), is(false));
    }

    @Test
    void keepsTryingWhileTheStoreIsOut() {
        store.out(true);
        lease.start();
        pass();
        assertThat(lease.claim().isPresent(), is(false));
        store.out(false);
        pass();

        assertThat(lease.claim().isPresent(), is(true));
    }

    /** The holder is gone; one of the first takes the duty before the others try. */
    @Test
    void leavesAFreeDutyToTheFirst() {
        LeaderElection first = lease("first");
        lease.onFirst(false);
        lease.onRecord(false);
        first.onRecord(false);
        pass();
        assertThat(first.claim().isPresent(), is(true));
        long leases = store.lastLease();
        lease.onRecord(true);
        timer.run(LATE);

        assertThat(lease.claim().isPresent(), is(false));
        assertThat(store.lastLease(), is(leases));
    }

    @Test
    void takesADutyThatTheFirstDoNotTake() {
        lease.onFirst(false);
        lease.onRecord(false);
        pass();
        assertThat(lease.claim().isPresent(), is(false));
        timer.run(LATE);

        assertThat(lease.claim().isPresent(), is(true));
    }
}
