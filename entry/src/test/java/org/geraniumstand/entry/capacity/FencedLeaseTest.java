package org.geraniumstand.entry.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import org.geraniumstand.decisions.capacity.CapacityOrder;
import org.geraniumstand.model.capacity.CloudHost;
import org.geraniumstand.model.capacity.HostOrder;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.cloud.CloudApi;
import org.geraniumstand.outside.cloud.CloudError;
import org.geraniumstand.outside.engine.HttpEngineControl;
import org.junit.jupiter.api.Test;

final class FencedLeaseTest {
    private static final long STEP_MILLIS = 1_000;
    private static final long TAKEOVER_WAIT_MILLIS = FencedLease.TTL_MILLIS + FencedLease.MAX_ORDER_MILLIS;

    private final FakeCloud cloud = new FakeCloud();
    private long nanos = 1;
    private final FakeStore store = new FakeStore(() -> nanos);
    private final FencedLease first = lease("first");
    private final FencedLease second = lease("second");

    /** A cloud that accepts any fencing token and records it. */
    private static final class FakeCloud implements CloudApi {
        private final List<Long> fencingTokens = new ArrayList<>();

        @Override
        public void hosts(Consumer<Result<List<CloudHost>, CloudError>> callback) {
            callback.accept(Result.ok(List.of()));
        }

        @Override
        public void start(HostOrder order, long fencingToken, Consumer<Result<HostOrder, CloudError>> callback) {
            fencingTokens.add(fencingToken);
            callback.accept(Result.ok(order));
        }

        @Override
        public void stop(HostId host, long _fencingToken, Consumer<Result<HostId, CloudError>> callback) {
            callback.accept(Result.ok(host));
        }
    }

    @Test
    void holderSendsOrdersOnlyAfterTtlAndOrderTimeOfPreviousHolder() {
        run(2, first);
        assertThat(first.currentFencingToken(), equalTo(OptionalLong.empty()));

        run(TAKEOVER_WAIT_MILLIS / STEP_MILLIS, first);
        assertThat(first.currentFencingToken(), equalTo(OptionalLong.of(1)));
    }

    @Test
    void pausedHolderSendsNoOrderAfterLeaseExpiry() {
        run(30, first);
        OrderSender sender = new OrderSender(first, cloud, new HttpEngineControl(null));
        assertThat(sender.start(order(), (_start, _result) -> {}), equalTo(true));

        advance(FencedLease.TTL_MILLIS);

        assertThat(sender.start(order(), (_start, _result) -> {}), equalTo(false));
        assertThat(cloud.fencingTokens, equalTo(List.of(1L)));
    }

    @Test
    void nextHolderGetsLargerFencingToken() {
        run(30, first);
        long fencingToken = first.currentFencingToken().orElseThrow();

        run(60, second);

        assertThat(second.currentFencingToken().orElseThrow(), greaterThan(fencingToken));
        assertThat(first.currentFencingToken(), equalTo(OptionalLong.empty()));
    }

    @Test
    void outageEndsUseOfLease() {
        run(30, first);
        store.setUnavailable(true);

        run(FencedLease.TTL_MILLIS / STEP_MILLIS, first);

        assertThat(first.currentFencingToken(), equalTo(OptionalLong.empty()));
    }

    @Test
    void holderKeepsLeaseWhileItRenews() {
        run(300, first);

        assertThat(first.currentFencingToken(), equalTo(OptionalLong.of(1)));
    }

    @Test
    void atMostOneHolderAtATimeWhenProcessesPause() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            FakeStore each = new FakeStore(() -> nanos);
            List<FencedLease> leases = List.of(
                    new FencedLease(each, "lease", "a", () -> nanos),
                    new FencedLease(each, "lease", "b", () -> nanos),
                    new FencedLease(each, "lease", "c", () -> nanos));
            int paused = 0;
            for (int step = 0; step < 400; step++) {
                advance(200 + random.nextInt(1_000));
                paused = random.nextInt(20) == 0 ? random.nextInt(4) : paused;
                each.setUnavailable(random.nextInt(10) == 0);
                for (int i = 0; i < leases.size(); i++) {
                    if (i != paused) {
                        leases.get(i).step();
                    }
                }
                long usable = leases.stream()
                        .filter(lease -> lease.currentFencingToken().isPresent())
                        .count();
                assertThat("seed " + seed, usable <= 1, equalTo(true));
            }
        }
    }

    private FencedLease lease(String holder) {
        return new FencedLease(store, "lease", holder, () -> nanos);
    }

    private void run(long steps, FencedLease lease) {
        for (long i = 0; i < steps; i++) {
            lease.step();
            advance(STEP_MILLIS);
        }
    }

    private void advance(long millis) {
        nanos += millis * Timestamp.NANOS_PER_MILLI;
    }

    private static CapacityOrder.Start order() {
        HostPool pool = new HostPool(new DataCentreId("a"), "l", true, 100);
        HostOrder host =
                new HostOrder(new HostId("h0"), pool.dataCentre(), "l", true, new ServiceId("s"), new VersionId("v1"));
        return new CapacityOrder.Start(host, pool);
    }
}
