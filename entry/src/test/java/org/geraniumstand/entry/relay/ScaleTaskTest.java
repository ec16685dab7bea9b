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
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.CallerLimits;
import org.geraniumstand.model.relay.EngineCapacity;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ScalingBounds;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.relay.LeaderApi;
import org.junit.jupiter.api.Test;

/** Runs the scaling decisions of a leader in virtual time. */
final class ScaleTaskTest {
    private static final ServiceId MODEL = new ServiceId("model");
    private static final List<DataCentreId> DATA_CENTRES =
            List.of(new DataCentreId("a"), new DataCentreId("b"), new DataCentreId("c"));
    private static final int SERVERS_PER_DATA_CENTRE = 18;
    private static final long TICK_MILLIS = 500;
    private static final ProcessId AGGREGATOR = new ProcessId("hub");
    private static final RelayTeam TEAM =
            new RelayTeam(new TeamId("shops"), List.of(), OptionalInt.empty(), true, 0, 0, 0);

    private final ManualTimer timer = new ManualTimer();
    private final RelayDispatcher dispatcher =
            new RelayDispatcher(DATA_CENTRES.get(0), new RelayBounds(0.2, 10, 10_000, 1_000, 0.1, 8), new Random(1), 0);
    private final List<LeaderApi.ServerOrder> orders = new ArrayList<>();
    private final LeaderElection leaderElection =
            new LeaderElection(new FakeRevisionStore(), timer, new Random(1), "one", 3_000);
    private final ScaleTask task =
            new ScaleTask(new RecordingCloudApi(), leaderElection, timer, this::nanos, dispatcher);
    private long nowMillis;
    private long peerUsage;

    private final class RecordingCloudApi implements LeaderApi {
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
        return nowMillis * Timestamp.NANOS_PER_MILLI;
    }

    private void startWithReclaimableServers() {
        applyConfiguration();
        for (DataCentreId dataCentre : DATA_CENTRES) {
            listServers(dataCentre, 0, SERVERS_PER_DATA_CENTRE, true);
        }
        acquireLeadership();
    }

    private void applyConfiguration() {
        ScalingBounds bounds = new ScalingBounds(
                1,
                60,
                4_000,
                0.22,
                Map.of(DATA_CENTRES.get(0), 0.85, DATA_CENTRES.get(1), 1.2, DATA_CENTRES.get(2), 1.0));
        RelayService service = new RelayService(
                MODEL, 600, 3_000, 16, Optional.of(new EngineCapacity(32, 454_000)), Optional.of(bounds));
        dispatcher.onConfiguration(
                new RelayConfiguration(
                        1, List.of(), List.of(service), List.of(TEAM), new CallerLimits(8_192, 100_000, 1_000, 1_000)),
                nanos());
    }

    private void listServers(DataCentreId dataCentre, int from, int to, boolean reclaimable) {
        for (int i = from; i < to; i++) {
            ServerId id = new ServerId(dataCentre + "-" + i);
            VersionId version = new VersionId("v1");
            dispatcher
                    .fleet()
                    .onListed(
                            new RelayServer(
                                    id, 1, MODEL, "10.0.0.1", i, dataCentre, version, 32, false, 0, reclaimable),
                            nanos());
        }
    }

    private void acquireLeadership() {
        leaderElection.start();
        timer.run(300);
        task.start();
    }

    /** Advances the time while callers request the given number of tokens a second. */
    private void simulateDemand(long millis, int tokensPerSecond) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            int tokens = (int) (tokensPerSecond * TICK_MILLIS / 1_000);
            CallerHead head = new CallerHead(
                    "x", Optional.empty(), OptionalLong.empty(), Optional.empty(), tokens, 0, true, List.of());
            dispatcher.requestQuota(head, Optional.of(TEAM), nanos());
            timer.run(TICK_MILLIS);
        }
    }

    /** After a power loss of all hosts, the first process that ordered servers released 47 of 53 while all callers returned. */
    @Test
    void releasesNoServersBeforeDemandIsMeasuredAfterALossOfAllHosts() {
        startWithReclaimableServers();
        simulateDemand(1_000, 16_000);
        simulateDemand(3_500, 2_400_000);

        assertThat(
                orders.stream()
                        .filter(order -> order.count() < SERVERS_PER_DATA_CENTRE)
                        .toList(),
                is(empty()));
    }

    /** A leader that is cut off from its peers must not take the demand of its own callers for the total demand. */
    @Test
    void releasesNoServersWhileNoPeerReportsItsUsage() {
        startWithReclaimableServers();
        dispatcher.processes().onLive(8, nanos());
        dispatcher.quotas().onAggregators(List.of(AGGREGATOR), nanos());
        for (long elapsedMillis = 0; elapsedMillis < 10_000; elapsedMillis += TICK_MILLIS) {
            peerUsage += 2_300_000 * TICK_MILLIS / 1_000;
            long number = dispatcher.quotas().report(AGGREGATOR, nanos()).number();
            dispatcher
                    .quotas()
                    .onAnswer(AGGREGATOR, new QuotaAnswer(number, true, List.of(), List.of(), peerUsage), 7, nanos());
            simulateDemand(TICK_MILLIS, 100_000);
        }
        orders.clear();
        simulateDemand(12_000, 100_000);

        assertThat(
                orders.stream()
                        .filter(order -> order.count() < SERVERS_PER_DATA_CENTRE)
                        .toList(),
                is(empty()));
    }

    /** A leader that has read only a part of the entries must not release servers that have not written theirs yet. */
    @Test
    void releasesNoServersWhoseEntriesAreNotWrittenYet() {
        applyConfiguration();
        listServers(DATA_CENTRES.get(0), 0, 3, false);
        acquireLeadership();
        simulateDemand(500, 0);
        listServers(DATA_CENTRES.get(0), 3, 6, false);
        simulateDemand(2_000, 0);

        assertThat(orders.stream().filter(order -> !order.reclaimable()).toList(), is(empty()));
    }

    @Test
    void releasesServersWhenMeasuredDemandIsLow() {
        startWithReclaimableServers();
        simulateDemand(8_000, 16_000);

        assertThat(orders.size(), is(greaterThan(0)));
        orders.forEach(order -> assertThat(order.count(), is(lessThan(SERVERS_PER_DATA_CENTRE))));
    }
}
