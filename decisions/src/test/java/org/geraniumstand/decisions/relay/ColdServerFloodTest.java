package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays of ways in which 78 processes together may send a cold server more than it bears. */
final class ColdServerFloodTest {
    /** A third of the servers crashes and starts again in a burst; all processes hear at once that they are cold. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void serversStartAgainInABurst(long seed) {
        ColdFleetModel fleet = new ColdFleetModel(seed);
        List<ServerId> crashed = fleet.enginesOf(Calls.EAST);
        fleet.at(1_000, () -> crashed.forEach(fleet::crash));
        fleet.at(2_500, () -> {
            fleet.burst(1.5);
            crashed.forEach(fleet::startAgain);
            fleet.desks().forEach(desk -> crashed.forEach(id -> fleet.list(desk, id)));
        });
        fleet.runUntil(5_500);

        assertThat(fleet.worst(), lessThanOrEqualTo(ColdFleetModel.MOST_IN_A_SECOND));
        assertThat(fleet.worst(), greaterThan(0));
    }

    /** The servers of a data centre are cold as it is taken back in; their entries say so after their next heartbeat. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void dataCentreIsTakenBackInCold(long seed) {
        ColdFleetModel fleet = new ColdFleetModel(seed);
        List<ServerId> east = fleet.enginesOf(Calls.EAST);
        fleet.desks().forEach(desk -> desk.fleet().onDataCentre(Calls.EAST, true, 0));
        fleet.at(2_000, () -> {
            fleet.burst(1.5);
            east.forEach(fleet::turnCold);
            fleet.listAfterHeartbeat(east);
            fleet.desks().forEach(desk -> desk.fleet().onDataCentre(Calls.EAST, false, fleet.now()));
        });
        fleet.runUntil(6_000);

        assertThat(fleet.worst(), lessThanOrEqualTo(ColdFleetModel.MOST_IN_A_SECOND));
        assertThat(fleet.worst(), greaterThan(0));
    }

    /** Servers crash and start again under their names; the store is away, so that nobody hears of it for 3 s. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void serversStartAgainWhileTheStoreIsAway(long seed) {
        ColdFleetModel fleet = new ColdFleetModel(seed);
        List<ServerId> crashed = fleet.enginesOf(Calls.EAST);
        fleet.at(1_000, () -> crashed.forEach(fleet::crash));
        fleet.at(2_500, () -> {
            fleet.burst(1.5);
            crashed.forEach(fleet::startAgain);
        });
        fleet.at(5_500, () -> fleet.listAfterHeartbeat(crashed));
        fleet.runUntil(7_000);

        assertThat(fleet.worst(), lessThanOrEqualTo(ColdFleetModel.MOST_IN_A_SECOND));
        assertThat(fleet.worst(), greaterThan(0));
    }

    /** A third of the processes is cut off from all others, so each of them knows itself alone, and servers are cold. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void processesThatAreCutOffFromEachOtherShareColdServers(long seed) {
        ColdFleetModel fleet = new ColdFleetModel(seed);
        List<ServerId> crashed = fleet.enginesOf(Calls.EAST);
        fleet.desks()
                .subList(0, ColdFleetModel.PROCESSES / 3)
                .forEach(desk -> desk.processes().onLive(1, 0));
        fleet.at(1_000, () -> crashed.forEach(fleet::crash));
        fleet.at(2_500, () -> {
            fleet.burst(1.5);
            crashed.forEach(fleet::startAgain);
            fleet.desks().forEach(desk -> crashed.forEach(id -> fleet.list(desk, id)));
        });
        fleet.runUntil(5_500);

        assertThat(fleet.worst(), lessThanOrEqualTo(ColdFleetModel.MOST_IN_A_SECOND));
        assertThat(fleet.worst(), greaterThan(0));
    }

    /** Servers that were cold at their start turn cold again after they were warm for a while. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void serversTurnColdASecondTime(long seed) {
        ColdFleetModel fleet = new ColdFleetModel(seed);
        List<ServerId> east = fleet.enginesOf(Calls.EAST);
        List<ServerId> others = fleet.enginesOf(Calls.WEST);
        for (long start : List.of(500L, 8_000L)) {
            fleet.at(start, () -> {
                fleet.burst(1.5);
                others.forEach(fleet::crash);
                east.forEach(fleet::turnCold);
                fleet.desks().forEach(desk -> east.forEach(id -> fleet.list(desk, id)));
            });
        }
        fleet.runUntil(11_000);

        assertThat(fleet.worst(), lessThanOrEqualTo(ColdFleetModel.MOST_IN_A_SECOND));
        assertThat(fleet.worst(), greaterThan(0));
    }
}
