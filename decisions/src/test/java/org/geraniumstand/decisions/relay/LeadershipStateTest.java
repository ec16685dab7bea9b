package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.junit.jupiter.api.Test;

final class LeadershipStateTest {
    private final LeadershipState leadership = new LeadershipState(3_000);

    @Test
    void returnsElectionRevisionAsFencingToken() {
        leadership.onAcquired(new StoreLease(-1, 7), new StoreRevision(StoreRevision.UNKNOWN_ERA, 42), 0);

        assertThat(leadership.fencingToken(1_000 * Calls.MILLI), is(Optional.of(42L)));
    }

    @Test
    void doesNotActOnceLeaseMayHaveExpired() {
        leadership.onAcquired(new StoreLease(-1, 7), new StoreRevision(StoreRevision.UNKNOWN_ERA, 42), 0);

        assertThat(leadership.fencingToken(2_500 * Calls.MILLI), is(Optional.empty()));
    }

    @Test
    void extendsLeaseFromSendTimeOfRenewal() {
        leadership.onAcquired(new StoreLease(-1, 7), new StoreRevision(StoreRevision.UNKNOWN_ERA, 42), 0);
        leadership.onRenewed(1_000 * Calls.MILLI);

        assertThat(leadership.fencingToken(3_000 * Calls.MILLI), is(Optional.of(42L)));
    }

    @Test
    void doesNotActAfterLosingLeadership() {
        leadership.onAcquired(new StoreLease(-1, 7), new StoreRevision(StoreRevision.UNKNOWN_ERA, 42), 0);
        leadership.onLost();

        assertThat(leadership.fencingToken(1), is(Optional.empty()));
    }
}
