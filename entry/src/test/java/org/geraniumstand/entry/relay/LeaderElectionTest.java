package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.outside.relay.LeaderApi;
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

    /** The lease was lost with the copy, and another process could have taken over under the same revision. */
    @Test
    void stopsActingAtOnceWhenTheStoreWasRestored() {
        store.era().onReported(1);
        election.start();
        runTimers();
        assertThat(election.fencingToken().isPresent(), is(true));
        store.restore(2, 50, Map.of());

        assertThat(election.fencingToken().isPresent(), is(false));
    }

    @Test
    void fencingTokenRisesThoughRevisionsAreAssignedAgain() {
        store.era().onReported(1);
        election.start();
        runTimers();
        long previousToken = election.fencingToken().orElseThrow().token();
        store.restore(2, 100, Map.of());
        LeaderElection other = candidate("two");
        other.start();
        runTimers();
        List<Long> tokens = Stream.of(election, other)
                .flatMap(process -> process.fencingToken().stream())
                .map(LeaderApi.Claim::token)
                .toList();

        assertThat(tokens, contains(greaterThan(previousToken)));
    }

    /** No lease removes the record, as leases are lost. */
    @Test
    void replacesTheRecordOfALeaderWhoseLeaseWasLostWithTheCopy() {
        store.era().onReported(1);
        election.start();
        runTimers();
        String record = store.value(LeaderElection.KEY).orElseThrow();
        election.resign();
        store.restore(2, 50, Map.of(LeaderElection.KEY, record));
        LeaderElection other = candidate("two");
        other.start();
        runTimers();

        assertThat(other.fencingToken().isPresent(), is(true));
    }

    @Test
    void doesNotReplaceTheRecordOfALeaderOfTheSameEra() {
        store.era().onReported(1);
        store.restore(2, 50, Map.of());
        election.start();
        runTimers();
        LeaderElection other = candidate("two");
        other.start();
        runTimers();

        assertThat(election.fencingToken().isPresent(), is(true));
        assertThat(other.fencingToken().isPresent(), is(false));
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
