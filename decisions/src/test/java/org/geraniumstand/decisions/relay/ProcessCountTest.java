package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

final class ProcessCountTest {
    private static final long SECOND = 1_000 * Calls.MILLI;

    private final ProcessCount count = new ProcessCount(330, 0);

    @Test
    void usesAssumedCountUntilAnotherProcessIsSeen() {
        count.onLive(1, SECOND);
        assertThat(count.senderCount(2 * SECOND), is(330));

        count.onLive(7, 3 * SECOND);
        assertThat(count.senderCount(3 * SECOND), is(7));
    }

    @Test
    void countsProcessesListedInStore() {
        count.onRegistered(78, SECOND);
        count.onLive(2, 2 * SECOND);

        assertThat(count.senderCount(2 * SECOND), is(78));
        assertThat(count.liveCount(2 * SECOND), is(78));
    }

    @Test
    void countsLostProcessesAsUsersOfQuotasForHalfAMinute() {
        count.onLive(70, 0);
        count.onLive(1, SECOND);

        assertThat(count.quotaCount(29 * SECOND), is(70));
        assertThat(count.quotaCount(31 * SECOND), is(1));
    }

    @Test
    void countsLiveProcessesThatWereReplacedAtTheirAddressOnce() {
        count.onLiveAt(List.of("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.1:7000"), 0);

        assertThat(count.quotaCount(SECOND), is(2));
    }

    /** Each of the ended processes took part of every quota for 15 s after a restart of all. */
    @Test
    void countsProcessesThatWereReplacedAtTheirAddressOnce() {
        count.onRegisteredAt(List.of("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.1:7000", "10.0.0.2:7001"), 0);

        assertThat(count.liveCount(SECOND), is(3));
    }

    /** After a restart of all processes the store still lists the ended ones until their leases expire. */
    @Test
    void expiresListedProcessesWithoutContact() {
        count.onRegistered(156, 0);
        count.onLive(78, SECOND);

        assertThat(count.senderCount(14 * SECOND), is(156));
        assertThat(count.senderCount(16 * SECOND), is(78));
    }

    @Test
    void countsOnlyThisProcessAfterLongTimeWithoutContact() {
        assertThat(count.senderCount(59 * SECOND), is(330));
        assertThat(count.senderCount(61 * SECOND), is(1));
    }

    /** A partitioned process drops all others from its membership, while it and they continue to send. */
    @Test
    void countsProcessesAfterLosingContact() {
        count.onLive(78, 0);
        count.onLive(1, 100 * SECOND);

        assertThat(count.liveCount(100 * SECOND), is(1));
        assertThat(count.senderCount(159 * SECOND), is(78));
        assertThat(count.senderCount(161 * SECOND), is(1));
    }

    @Test
    void countsNewProcessesImmediately() {
        count.onLive(7, 0);
        count.onLive(9, SECOND);

        assertThat(count.senderCount(SECOND), is(9));
    }
}
