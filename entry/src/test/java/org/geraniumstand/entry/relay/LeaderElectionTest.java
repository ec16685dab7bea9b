package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.geraniumstand.model.relay.StoreLease;
import org.junit.jupiter.api.Test;

final class LeaderElectionTest {
    private static final long LEASE_MILLIS = 3_000;
    private static final long SHORT_DELAY_MILLIS = 2_900;
    private static final long LONG_DELAY_MILLIS = 5_000;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private final LeaderElection election = candidate("one");

    private LeaderElection candidate(String holder) {
        return new LeaderElection(store, timer, new Random(1), holder, LEASE_MILLIS);
    }

    private void runTimers() {
        for (int i = 0; i < 4; i++) {
            timer.run(SHORT_DELAY_MILLIS);
        }
    }

    @Test
    void acquiresLeadershipWhenThereIsNoLeader() {
        election.start();
        runTimers();

        assertThat(election.fencingToken().orElseThrow().holder(), is("one"));
        assertThat(store.value(LeaderElection.KEY).orElseThrow(), is("one"));
    }

    @Test
    void doesNotReplaceALeaderThatHoldsItsLease() {
        election.start();
        runTimers();
        LeaderElection other = candidate("two");
        other.start();
        runTimers();

        assertThat(other.fencingToken().isPresent(), is(false));
    }

    @Test
    void losesLeadershipWhenTheLeaseExpiresAndReacquiresItWithAHigherFencingToken() {
        election.start();
        runTimers();
        long previousToken = election.fencingToken().orElseThrow().token();
        store.expire(store.lastLease());
        timer.run(SHORT_DELAY_MILLIS);
        assertThat(election.fencingToken().isPresent(), is(false));
        election.onRecord(false);
        runTimers();

        assertThat(election.fencingToken().orElseThrow().token(), greaterThan(previousToken));
    }

    @Test
    void removesTheRecordAndStaysOutOfTheElectionAfterResigning() {
        election.start();
        runTimers();
        election.resign();

        assertThat(store.value(LeaderElection.KEY).isPresent(), is(false));
        runTimers();
        assertThat(election.fencingToken().isPresent(), is(false));
    }

    @Test
    void losesLeadershipWhenItsFencingTokenIsRejected() {
        election.start();
        runTimers();
        election.onFenced();

        assertThat(election.fencingToken().isPresent(), is(false));
    }

    @Test
    void acquiresLeadershipOnceTheStoreIsAvailableAgain() {
        store.setUnavailable(true);
        election.start();
        runTimers();
        assertThat(election.fencingToken().isPresent(), is(false));
        store.setUnavailable(false);
        runTimers();

        assertThat(election.fencingToken().isPresent(), is(true));
    }

    /** When the leader is lost, a preferred candidate must take over before the other processes try to. */
    @Test
    void letsAPreferredCandidateTakeOverFirst() {
        LeaderElection preferred = candidate("first");
        election.setPreferred(false);
        election.onRecord(false);
        preferred.onRecord(false);
        runTimers();
        assertThat(preferred.fencingToken().isPresent(), is(true));
        StoreLease previous = store.lastLease();
        election.onRecord(true);
        timer.run(LONG_DELAY_MILLIS);

        assertThat(election.fencingToken().isPresent(), is(false));
        assertThat(store.lastLease(), is(previous));
    }

    @Test
    void acquiresLeadershipLaterIfNoPreferredCandidateDoes() {
        election.setPreferred(false);
        election.onRecord(false);
        runTimers();
        assertThat(election.fencingToken().isPresent(), is(false));
        timer.run(LONG_DELAY_MILLIS);

        assertThat(election.fencingToken().isPresent(), is(true));
    }
}
