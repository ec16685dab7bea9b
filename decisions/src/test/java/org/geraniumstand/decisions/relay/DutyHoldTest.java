package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class DutyHoldTest {
    private final DutyHold hold = new DutyHold(3_000);

    @Test
    void actsUnderTheRevisionAtWhichItWasTaken() {
        hold.onTaken(7, 42, 0);

        assertThat(hold.fence(1_000 * Calls.MILLI), is(Optional.of(42L)));
    }

    @Test
    void doesNotActOnceTheLeaseMayHaveEnded() {
        hold.onTaken(7, 42, 0);

        assertThat(hold.fence(2_500 * Calls.MILLI), is(Optional.empty()));
    }

    @Test
    void actsOnAfterARenewalCountedFromWhenItWasSent() {
        hold.onTaken(7, 42, 0);
        hold.onRenewed(1_000 * Calls.MILLI);

        assertThat(hold.fence(3_000 * Calls.MILLI), is(Optional.of(42L)));
    }

    @Test
    void doesNotActAfterLosingIt() {
        hold.onTaken(7, 42, 0);
        hold.onLost();

        assertThat(hold.fence(1), is(Optional.empty()));
    }
}
