package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays situations in which 78 processes together could send a cold server more requests than its limit. */
final class ColdServerOverloadTest {
    private static void assertWithinColdLimit(ColdFleetSimulation fleet) {
        assertThat(
                fleet.maxColdArrivals(), allOf(greaterThan(0), lessThanOrEqualTo(ColdFleetSimulation.MAX_PER_SECOND)));
    }

    /** A third of the servers crashes and restarts under the same names in a burst of calls. */
    private static void restartDuringBurst(ColdFleetSimulation fleet, List<ServerId> servers) {
        fleet.at(1_000, () -> servers.forEach(fleet::crash));
        fleet.at(2_500, () -> {
            fleet.setLoadFactor(1.5);
            servers.forEach(fleet::restart);
        });
    }

    /** All processes learn at once that the servers are cold. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void serversRestartDuringBurst(long seed) {
        ColdFleetSimulation fleet = new ColdFleetSimulation(seed);
        List<ServerId> east = fleet.enginesOf(Calls.EAST);
        restartDuringBurst(fleet, east);
        fleet.at(2_500, () -> fleet.listToAll(east));
        fleet.runUntil(5_500);

        assertWithinColdLimit(fleet);
    }

    /**
     * The servers of a data centre are cold when it returns to service; their entries report that only after the next
     * heartbeat.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void dataCentreReturnsToServiceCold(long seed) {
        ColdFleetSimulation fleet = new ColdFleetSimulation(seed);
        List<ServerId> east = fleet.enginesOf(Calls.EAST);
        fleet.dispatchers().forEach(dispatcher -> dispatcher.fleet().onDataCentreState(Calls.EAST, true, 0));
        fleet.at(2_000, () -> {
            fleet.setLoadFactor(1.5);
            east.forEach(fleet::turnCold);
            fleet.listAfterHeartbeat(east);
            fleet.dispatchers()
                    .forEach(dispatcher -> dispatcher.fleet().onDataCentreState(Calls.EAST, false, fleet.now()));
        });
        fleet.runUntil(6_000);

        assertWithinColdLimit(fleet);
    }

    /** The store is unreachable, so that no process learns of the restarts for 3 s. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void serversRestartWhileStoreIsUnreachable(long seed) {
        ColdFleetSimulation fleet = new ColdFleetSimulation(seed);
        List<ServerId> east = fleet.enginesOf(Calls.EAST);
        fleet.at(900, () -> fleet.storeUnreachable(true));
        restartDuringBurst(fleet, east);
        fleet.at(5_500, () -> {
            fleet.storeUnreachable(false);
            fleet.listAfterHeartbeat(east);
        });
        fleet.runUntil(7_000);

        assertWithinColdLimit(fleet);
    }

    /** A third of the processes is partitioned from all others, so each of them considers itself the only one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void partitionedProcessesShareColdServers(long seed) {
        ColdFleetSimulation fleet = new ColdFleetSimulation(seed);
        List<ServerId> east = fleet.enginesOf(Calls.EAST);
        fleet.dispatchers()
                .subList(0, ColdFleetSimulation.PROCESSES / 3)
                .forEach(dispatcher -> dispatcher.processes().onLive(1, 0));
        restartDuringBurst(fleet, east);
        fleet.at(2_500, () -> fleet.listToAll(east));
        fleet.runUntil(5_500);

        assertWithinColdLimit(fleet);
    }

    /** Servers that were cold at their start turn cold again after a warm phase. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void serversTurnColdTwice(long seed) {
        ColdFleetSimulation fleet = new ColdFleetSimulation(seed);
        List<ServerId> east = fleet.enginesOf(Calls.EAST);
        List<ServerId> others = fleet.enginesOf(Calls.WEST);
        for (long start : List.of(500L, 8_000L)) {
            fleet.at(start, () -> {
                fleet.setLoadFactor(1.5);
                others.forEach(fleet::crash);
                east.forEach(fleet::turnCold);
                fleet.listToAll(east);
            });
        }
        fleet.runUntil(11_000);

        assertWithinColdLimit(fleet);
    }
}
