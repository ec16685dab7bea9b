package org.geraniumstand.decisions.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class HeldGrantsTest {
    private static final ServerId SERVER = new ServerId("s");
    private static final Timestamp START = new Timestamp(0, 0);
    private static final Timestamp AFTER_PAUSE = START.plus(Duration.ofMillis(600));
    private static final Timestamp AFTER_EXPIRY = START.plus(Duration.ofMillis(GrantAllocator.VALID_MILLIS));

    private final HeldGrants heldGrants = new HeldGrants();

    @Test
    void concurrencyIsZeroWithoutGrant() {
        assertThat(heldGrants.concurrency(SERVER, START), equalTo(0));
    }

    @Test
    void expiredGrantOfWarmServerAllowsTheMinimum() {
        heldGrants.onGrants(List.of(grant(true)), START);

        assertThat(heldGrants.concurrency(SERVER, START), equalTo(5));
        assertThat(heldGrants.concurrency(SERVER, AFTER_EXPIRY), equalTo(HeldGrants.WARM_SERVER_MINIMUM));
    }

    @Test
    void expiredGrantOfColdServerAllowsNothing() {
        heldGrants.onGrants(List.of(grant(false)), START);

        assertThat(heldGrants.concurrency(SERVER, AFTER_EXPIRY), equalTo(0));
    }

    @Test
    void pauseDiscardsHeldGrantsAndThoseReadRightAfterIt() {
        heldGrants.onTime(START);
        heldGrants.onGrants(List.of(grant(false)), START);
        heldGrants.onTime(AFTER_PAUSE);
        heldGrants.onGrants(List.of(grant(false)), AFTER_PAUSE);

        assertThat(heldGrants.concurrency(SERVER, AFTER_PAUSE), equalTo(0));
    }

    @Test
    void droppedGrantAllowsNothing() {
        heldGrants.onGrants(List.of(grant(true)), START);

        heldGrants.drop(SERVER, START);

        assertThat(heldGrants.concurrency(SERVER, START), equalTo(0));
    }

    private static Grant grant(boolean warm) {
        return new Grant(SERVER, new ProcessId("p1"), 5, GrantAllocator.VALID_MILLIS, warm);
    }
}
