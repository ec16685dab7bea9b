package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.relay.RelayServer;
import org.junit.jupiter.api.Test;

/** Replays, without a network, 70 processes and 62 servers of which 24 go at once; their entries stay for 4 s. */
final class GoneServersReplayTest {
    private static final int PROCESSES = 70;
    private static final int SERVERS = 62;
    private static final int GONE = 24;
    private static final int CALLS_PER_SECOND = 400;
    private static final int ENTRY_MILLIS = 4_000;
    private static final int REPORT_MILLIS = 200;
    private static final ServerId SOUND = new ServerId("s50");

    private final Random random = new Random(1);
    private final List<RelayFleet> fleets = new ArrayList<>();
    private final LostServers lost = new LostServers();

    private void start() {
        for (int i = 0; i < PROCESSES; i++) {
            RelayFleet fleet = new RelayFleet();
            IntStream.range(0, SERVERS).forEach(server -> fleet.onListed(server(server), 0));
            fleet.onStoreUpToDate(0);
            fleets.add(fleet);
        }
    }

    private static RelayServer server(int number) {
        return new RelayServer(
                new ServerId("s" + number),
                1,
                Calls.PLAIN_SERVICE,
                "10.0.0." + number,
                7_000,
                new DataCentreId("here"),
                new VersionId("v1"),
                8,
                false,
                0,
                false);
    }

    /** Returns how many calls are sent to servers that have gone. */
    private int sendsToGone(boolean sharing) {
        start();
        int sends = 0;
        for (int millis = 1; millis < ENTRY_MILLIS; millis++) {
            long now = millis * Calls.MILLI;
            if (random.nextInt(1_000) < CALLS_PER_SECOND) {
                sends += send(fleets.get(random.nextInt(PROCESSES)), now) ? 1 : 0;
            }
            if (sharing) {
                exchange(millis);
            }
        }
        return sends;
    }

    private boolean send(RelayFleet fleet, long now) {
        List<ServerView> usable =
                fleet.all().stream().filter(view -> !view.isEjected(now)).toList();
        ServerView chosen = usable.get(random.nextInt(usable.size()));
        chosen.onSent(0, now);
        boolean gone = Integer.parseInt(chosen.server().id().value().substring(1)) < GONE;
        if (gone) {
            chosen.onNotConnected(now);
            chosen.eject(now);
        } else {
            chosen.onStarted(0, now);
        }
        return gone;
    }

    private void exchange(int millis) {
        for (int i = 0; i < PROCESSES; i++) {
            if ((millis + 3 * i) % REPORT_MILLIS == 0) {
                long now = millis * Calls.MILLI;
                lost.onReport(new ProcessId("p" + i), fleets.get(i).lostServers(now), now);
                fleets.get(i).onRemoteLosses(lost.recentLosses(now), now);
            }
        }
    }

    @Test
    void processesAvoidServersThatOthersFoundGone() {
        int alone = new GoneServersReplayTest().sendsToGone(false);
        int sharing = sendsToGone(true);

        assertThat(alone + " alone, " + sharing + " sharing", sharing * 3, lessThan(alone));
    }

    private boolean avoidedBy(int process, long millis) {
        return fleets.get(process).view(SOUND).orElseThrow().isEjected(millis * Calls.MILLI);
    }

    private void notConnected(int process, long millis) {
        fleets.get(process).view(SOUND).orElseThrow().onNotConnected(millis * Calls.MILLI);
    }

    private void exchangeUntil(int fromMillis, int untilMillis) {
        IntStream.range(fromMillis, untilMillis).forEach(this::exchange);
    }

    @Test
    void ignoresASingleProcess() {
        start();
        notConnected(0, 100);
        exchangeUntil(100, 600);

        assertThat(IntStream.range(1, PROCESSES).anyMatch(i -> avoidedBy(i, 600)), is(false));
    }

    @Test
    void ignoresProcessesThatAreCutOffFromMostServers() {
        start();
        for (int cutOff = 0; cutOff < 5; cutOff++) {
            fleets.get(cutOff).all().forEach(view -> view.onNotConnected(100 * Calls.MILLI));
        }
        exchangeUntil(100, 600);

        assertThat(fleets.get(0).lostServers(600 * Calls.MILLI), is(List.<LostServer>of()));
        assertThat(IntStream.range(1, PROCESSES).anyMatch(i -> avoidedBy(i, 600)), is(false));
    }

    /** A false alarm of two processes ends by itself, and does not reach a process that the server answers. */
    @Test
    void avoidsSoundServerForTwoSecondsAtMost() {
        start();
        notConnected(0, 100);
        notConnected(1, 100);
        exchangeUntil(100, 600);
        assertThat(avoidedBy(5, 600), is(true));

        ServerView answering = fleets.get(5).view(SOUND).orElseThrow();
        answering.onSent(0, 600 * Calls.MILLI);
        answering.onStarted(0, 600 * Calls.MILLI);
        exchangeUntil(600, 1_000);
        assertThat(avoidedBy(5, 1_000), is(false));
        assertThat(avoidedBy(6, 1_000), is(true));

        exchangeUntil(1_000, 2_200);
        assertThat(IntStream.range(0, PROCESSES).anyMatch(i -> avoidedBy(i, 2_200)), is(false));
    }

    /** A server that others could not connect to has not restarted for that, as the store tells what has. */
    @Test
    void doesNotTakeAServerForColdThatOthersCouldNotConnectTo() {
        start();
        notConnected(0, 100);
        notConnected(1, 100);
        exchangeUntil(100, 600);
        fleets.get(5).onStoreUpToDate(3_000 * Calls.MILLI);

        assertThat(
                fleets.get(5)
                        .view(SOUND)
                        .orElseThrow()
                        .assumedState(Calls.engineService(1), 1, OptionalDouble.empty(), 3_100 * Calls.MILLI)
                        .cold(),
                is(false));
    }
}
