package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class DutyHoldTest {
    private final DutyHold leadership = new DutyHold(3_000);

    @Test
    void returnsElectionRevisionAsFencingToken() {
        leadership.onTaken(7, 42, 0);

        assertThat(leadership.fence(1_000 * Calls.MILLI), is(Optional.of(42L)));
    }

    @Test
    void doesNotActOnceLeaseMayHaveExpired() {
        leadership.onTaken(7, 42, 0);

        assertThat(leadership.fence(2_500 * Calls.MILLI), is(Optional.empty()));
    }

    @Test
    void extendsLeaseFromSendTimeOfRenewal() {
        leadership.onTaken(7, 42, 0);
        leadership.onRenewed(1_000 * Calls.MILLI);

        assertThat(leadership.fence(3_000 * Calls.MILLI), is(Optional.of(42L)));
    }

    @Test
    void doesNotActAfterLosingLeadership() {
        leadership.onTaken(7, 42, 0);
        leadership.onLost();

        assertThat(leadership.fence(1), is(Optional.empty()));
    }
}
