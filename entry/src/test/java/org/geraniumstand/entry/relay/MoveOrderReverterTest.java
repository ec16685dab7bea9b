package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.VersionMoveOrder;
import org.geraniumstand.platform.PlatformMoveStatusFormat;
import org.junit.jupiter.api.Test;

final class MoveOrderReverterTest {
    private static final long LEASE_MILLIS = 3_000;
    private static final long TICK_MILLIS = 500;
    private static final ServiceId SERVICE = new ServiceId("board-model");
    private static final VersionMoveOrder ORDER = new VersionMoveOrder(SERVICE, new VersionId("v2"), 12_000);

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private final PlatformMoveStatusFormat format = new PlatformMoveStatusFormat();
    private final LeaderElection leaderElection = new LeaderElection(store, timer, new Random(1), "one", LEASE_MILLIS);
    private final MoveOrderReverter reverter = new MoveOrderReverter(store, format, leaderElection, timer);
    private final String key = format.key(SERVICE);

    private void acquireLeadership() {
        leaderElection.start();
        for (int i = 0; i < 4; i++) {
            timer.run(LEASE_MILLIS);
        }
    }

    @Test
    void marksAnOrderAsRevertedOnTheFirstTick() {
        acquireLeadership();
        reverter.onOrder(ORDER);
        reverter.start();

        assertThat(format.hasEnded(store.value(key).orElseThrow(), ORDER.target()), is(true));
    }

    @Test
    void writesNoStatusWithoutLeadership() {
        reverter.onOrder(ORDER);
        reverter.start();

        assertThat(store.value(key), is(Optional.empty()));
    }

    @Test
    void retriesOnTheNextTickAfterAStoreFailure() {
        acquireLeadership();
        reverter.onOrder(ORDER);
        store.setUnavailable(true);
        reverter.start();
        store.setUnavailable(false);
        assertThat(store.value(key), is(Optional.empty()));
        timer.run(TICK_MILLIS);

        assertThat(store.value(key).isPresent(), is(true));
    }

    @Test
    void keepsTheStatusOfACompletedMove() {
        acquireLeadership();
        String completedStatus = "{\"target\":\"v2\",\"state\":\"completed\"}";
        store.write(key, completedStatus);
        reverter.onOrder(ORDER);
        reverter.start();

        assertThat(store.value(key).orElseThrow(), is(completedStatus));
    }

    @Test
    void overwritesTheStatusOfAnEarlierOrder() {
        acquireLeadership();
        store.write(key, "{\"target\":\"v1\",\"state\":\"reverted\"}");
        reverter.onOrder(ORDER);
        reverter.start();

        assertThat(format.hasEnded(store.value(key).orElseThrow(), ORDER.target()), is(true));
    }

    /** All entries are read again after a restoration, the order too. */
    @Test
    void writesAgainAStatusThatARestoredStoreLost() {
        store.era().onReported(1);
        acquireLeadership();
        reverter.onOrder(ORDER);
        reverter.start();
        store.restore(2, 50, Map.of());
        assertThat(store.value(key), is(Optional.empty()));
        acquireLeadership();
        reverter.onOrder(ORDER);
        timer.run(TICK_MILLIS);

        assertThat(format.hasEnded(store.value(key).orElseThrow(), ORDER.target()), is(true));
    }

    @Test
    void dropsAnOrderThatIsMissingFromASnapshot() {
        acquireLeadership();
        reverter.onOrder(ORDER);
        reverter.retain(Set.of());
        reverter.start();

        assertThat(store.value(key), is(Optional.empty()));
    }

    @Test
    void dropsAnOrderThatIsRemovedFromTheStore() {
        acquireLeadership();
        reverter.onOrder(ORDER);
        reverter.onOrderRemoved(SERVICE);
        reverter.start();

        assertThat(store.value(key), is(Optional.empty()));
    }
}
