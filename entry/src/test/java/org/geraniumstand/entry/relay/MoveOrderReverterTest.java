package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.VersionOrder;
import org.geraniumstand.platform.PlatformMoveStatusFormat;
import org.junit.jupiter.api.Test;

final class MoveOrderReverterTest {
    private static final long TTL = 3_000;
    private static final long TICK = 500;
    private static final ServiceId SERVICE = new ServiceId("board-model");
    private static final VersionOrder ORDER = new VersionOrder(SERVICE, new VersionId("v2"), 12_000);

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private final PlatformMoveStatusFormat format = new PlatformMoveStatusFormat();
    private final LeaderElection lease = new LeaderElection(store, timer, new Random(1), "one", TTL);
    private final MoveOrderReverter orders = new MoveOrderReverter(store, format, lease, timer);
    private final String key = format.key(SERVICE);

    private void takeDuty() {
        lease.start();
        for (int i = 0; i < 4; i++) {
            timer.run(TTL);
        }
    }

    @Test
    void takesAnOrderBackAtOnceAsNoMoveIsMade() {
        takeDuty();
        orders.onOrdered(ORDER);
        orders.start();

        assertThat(format.ended(store.value(key).orElseThrow(), ORDER.target()), is(true));
    }

    @Test
    void leavesOrdersToTheHolderOfTheDuty() {
        orders.onOrdered(ORDER);
        orders.start();

        assertThat(store.value(key), is(Optional.empty()));
    }

    @Test
    void answersOnceTheStoreIsBack() {
        takeDuty();
        orders.onOrdered(ORDER);
        store.out(true);
        orders.start();
        store.out(false);
        assertThat(store.value(key), is(Optional.empty()));
        timer.run(TICK);

        assertThat(store.value(key).isPresent(), is(true));
    }

    @Test
    void leavesAnOrderAloneThatHasEnded() {
        takeDuty();
        String done = "{\"target\":\"v2\",\"state\":\"completed\"}";
        store.write(key, done);
        orders.onOrdered(ORDER);
        orders.start();

        assertThat(store.value(key).orElseThrow(), is(done));
    }

    @Test
    void answersTheNextOrderAfterTheStatusOfAnEarlierOne() {
        takeDuty();
        store.write(key, "{\"target\":\"v1\",\"state\":\"reverted\"}");
        orders.onOrdered(ORDER);
        orders.start();

        assertThat(format.ended(store.value(key).orElseThrow(), ORDER.target()), is(true));
    }

    @Test
    void forgetsAnOrderThatIsNotAmongThoseReadAnew() {
        takeDuty();
        orders.onOrdered(ORDER);
        orders.retain(Set.of());
        orders.start();

        assertThat(store.value(key), is(Optional.empty()));
    }

    @Test
    void forgetsAnOrderThatIsGone() {
        takeDuty();
        orders.onOrdered(ORDER);
        orders.onGone(SERVICE);
        orders.start();

        assertThat(store.value(key), is(Optional.empty()));
    }
}
