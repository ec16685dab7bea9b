package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import org.geraniumstand.decisions.relay.RelayBounds;
import org.geraniumstand.decisions.relay.RelayDesk;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.CallerLimits;
import org.geraniumstand.model.relay.EngineShape;
import org.geraniumstand.model.relay.RelayPlan;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ScalingBounds;
import org.geraniumstand.model.relay.TeamUse;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.outside.relay.DutyDesk;
import org.junit.jupiter.api.Test;

/** One process that holds the duty and orders servers, in virtual time. */
final class ScaleTaskTest {
    private static final ServiceId MODEL = new ServiceId("model");
    private static final List<DataCentreId> DATA_CENTRES =
            List.of(new DataCentreId("a"), new DataCentreId("b"), new DataCentreId("c"));
    private static final int SERVERS_EACH = 18;
    private static final long TICK_MILLIS = 500;
    private static final ProcessId HUB = new ProcessId("hub");
    private static final RelayTeam TEAM =
            new RelayTeam(new TeamId("shops"), List.of(), OptionalInt.empty(), true, 0, 0, 0);

    private final ManualTimer timer = new ManualTimer();
    private final RelayDesk desk =
            new RelayDesk(DATA_CENTRES.get(0), new RelayBounds(0.2, 10, 10_000, 1_000, 0.1, 8), new Random(1), 0);
    private final List<DutyDesk.ServerOrder> orders = new ArrayList<>();
    private final LeaderElection lease =
            new LeaderElection(new FakeRevisionStore(), timer, new Random(1), "one", 3_000);
    private final ScaleTask task = new ScaleTask(new Desk(), lease, timer, this::nanos, desk);
    private long nowMillis;
    private long othersUsed;

    private final class Desk implements DutyDesk {
        @Override
        public void reportUsage(Claim _claim, long _window, Map<TeamId, Long> _counts, Consumer<Outcome> callback) {
            callback.accept(Outcome.BUSY);
        }

        @Override
        public void orderServers(Claim _claim, ServerOrder order, Consumer<Outcome> callback) {
            orders.add(order);
            callback.accept(Outcome.DONE);
        }
    }

    private long nanos() {
        return nowMillis * Moment.NANOS_PER_MILLI;
    }

    private void startWithReclaimableServers() {
        plan();
        for (DataCentreId dataCentre : DATA_CENTRES) {
            list(dataCentre, 0, SERVERS_EACH, true);
        }
        takeTheDuty();
    }

    private void plan() {
        ScalingBounds bounds = new ScalingBounds(
                1,
                60,
                4_000,
                0.22,
                Map.of(DATA_CENTRES.get(0), 0.85, DATA_CENTRES.get(1), 1.2, DATA_CENTRES.get(2), 1.0));
        RelayService service =
                new RelayService(MODEL, 600, 3_000, 16, Optional.of(new EngineShape(32, 454_000)), Optional.of(bounds));
        desk.onPlan(
                new RelayPlan(
                        1, List.of(), List.of(service), List.of(TEAM), new CallerLimits(8_192, 100_000, 1_000, 1_000)),
                nanos());
    }

    private void list(DataCentreId dataCentre, int from, int to, boolean reclaimable) {
        for (int i = from; i < to; i++) {
            ServerId id = new ServerId(dataCentre + "-" + i);
            VersionId version = new VersionId("v1");
            desk.fleet()
                    .onListed(
                            new RelayServer(
                                    id, 1, MODEL, "10.0.0.1", i, dataCentre, version, 32, false, 0, reclaimable),
                            nanos());
        }
    }

    private void takeTheDuty() {
        lease.start();
        timer.run(300);
        task.start();
    }

    /** Lets callers ask for so many tokens a second. */
    private void pass(long millis, int tokensPerSecond) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            int tokens = (int) (tokensPerSecond * TICK_MILLIS / 1_000);
            CallerHead head = new CallerHead(
                    "x", Optional.empty(), OptionalLong.empty(), Optional.empty(), tokens, 0, true, List.of());
            desk.overQuota(head, Optional.of(TEAM), nanos());
            timer.run(TICK_MILLIS);
        }
    }

    /** All hosts lost power, and the first that ordered servers after it gave 47 of 53 back while all callers returned. */
    @Test
    void releasesNoServersBeforeItMeasuredTheDemandAfterALossOfAllHosts() {
        startWithReclaimableServers();
        pass(1_000, 16_000);
        pass(3_500, 2_400_000);

        assertThat(orders.stream().filter(order -> order.count() < SERVERS_EACH).toList(), is(empty()));
    }

    /** The process that orders was cut off from the others and took what its own callers asked for as all there was. */
    @Test
    void releasesNoServersWhileItHearsOfNoOtherProcess() {
        startWithReclaimableServers();
        desk.processes().onLive(8, nanos());
        desk.quotas().onHubs(List.of(HUB));
        for (long passed = 0; passed < 10_000; passed += TICK_MILLIS) {
            othersUsed += 2_300_000 * TICK_MILLIS / 1_000;
            desk.quotas().onOthers(HUB, List.of(new TeamUse(TEAM.id(), othersUsed)), 7, nanos());
            pass(TICK_MILLIS, 100_000);
        }
        orders.clear();
        pass(12_000, 100_000);

        assertThat(orders.stream().filter(order -> order.count() < SERVERS_EACH).toList(), is(empty()));
    }

    /** The process that orders read a part of the entries and gave back the servers that had not written theirs yet. */
    @Test
    void releasesNoServersWhoseEntriesComeLate() {
        plan();
        list(DATA_CENTRES.get(0), 0, 3, false);
        takeTheDuty();
        pass(500, 0);
        list(DATA_CENTRES.get(0), 3, 6, false);
        pass(2_000, 0);

        assertThat(orders.stream().filter(order -> !order.reclaimable()).toList(), is(empty()));
    }

    @Test
    void releasesServersOnceLittleDemandWasMeasured() {
        startWithReclaimableServers();
        pass(8_000, 16_000);

        assertThat(orders.size(), is(greaterThan(0)));
        orders.forEach(order -> assertThat(order.count(), is(lessThan(SERVERS_EACH))));
    }
}
