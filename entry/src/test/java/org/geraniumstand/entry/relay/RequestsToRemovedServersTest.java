package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that processes stop sending requests to a server in time after its entry was removed from the store. */
final class RequestsToRemovedServersTest {
    private static final int PROCESSES = 12;
    private static final int SERVERS = 20;

    /** Milliseconds for which a removed server still accepts requests, the {@code drainMs} of the smaller deployments. */
    private static final long DRAIN_MILLIS = 2_000;

    /** Milliseconds after a disruption at which the bound holds again, the {@code contactMs} of the same deployments. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Time for a request to reach a server, in milliseconds. */
    private static final long DELIVERY_MILLIS = 50;

    private static final String REMOVED = "server-3";

    private final ServerRemovalSimulation simulation =
            new ServerRemovalSimulation(PROCESSES, SERVERS, new StoreBounds(DRAIN_MILLIS, CONTACT_MILLIS));

    private void outage(long fromMillis, long untilMillis, SimulatedStore.Availability availability) {
        simulation.at(fromMillis, () -> simulation.store().setAvailability(availability));
        simulation.at(untilMillis, () -> simulation.store().setAvailability(SimulatedStore.Availability.ANSWERS));
    }

    private void removeServer(long atMillis) {
        simulation.at(atMillis, () -> simulation.store().removeUnannounced(REMOVED));
    }

    /** Checks that no process uses the server any more when a request would arrive after the drain time. */
    private void assertUnusedInTime(long removedMillis) {
        simulation.runUntil(removedMillis + DRAIN_MILLIS - DELIVERY_MILLIS);

        assertThat("processes that use the removed server", simulation.processesUsing(REMOVED), is(empty()));
        assertThat("smallest number of servers in use by any process", simulation.minServersInUse(), is(SERVERS - 1));
    }

    @Test
    void stopsAtOnceWithoutDisruption() {
        removeServer(5_000);
        simulation.runUntil(5_300);

        assertThat(simulation.processesUsing(REMOVED), is(empty()));
    }

    /** The store readers were killed when a server was removed, 9 s after an outage. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "SILENT"})
    void stopsInTimeWhenReadersAreKilledLongAfterAnOutage(SimulatedStore.Availability availability) {
        outage(3_000, 7_000, availability);
        simulation.at(15_900, () -> simulation.kill(simulation.readers()));
        removeServer(16_005);

        assertUnusedInTime(16_005);
    }

    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "SILENT"})
    void stopsAtOnceLongAfterAnOutage(SimulatedStore.Availability availability) {
        outage(3_000, 7_000, availability);
        removeServer(16_000);
        simulation.runUntil(16_300);

        assertThat(simulation.processesUsing(REMOVED), is(empty()));
    }

    /** The store answered all other processes, so no entry expired because of an outage. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "SILENT"})
    void stopsAtOnceWhenOneReaderIsCutOffFromTheStore(SimulatedStore.Availability availability) {
        int cutOff = simulation.readers().get(0);
        simulation.at(3_000, () -> simulation.store().setAvailabilityFor(cutOff, availability));
        simulation.at(7_000, () -> simulation.store().setAvailabilityFor(cutOff, SimulatedStore.Availability.ANSWERS));
        removeServer(8_000);
        simulation.runUntil(8_500);

        assertThat(simulation.processesUsing(REMOVED), is(empty()));
    }

    /** Only some processes detected the compaction; the others waited for changes that the store could no longer return. */
    @Test
    void stopsInTimeDuringACompaction() {
        simulation.at(5_000, () -> simulation.store().beginCompaction());
        removeServer(5_500);
        simulation.at(6_000, () -> simulation.store().endCompaction());
        simulation.runUntil(6_000 + DRAIN_MILLIS - DELIVERY_MILLIS);

        assertThat(simulation.processesUsing(REMOVED), is(empty()));
    }

    @ParameterizedTest
    @CsvSource({
        "REFUSES, 2500",
        "REFUSES, 3300",
        "REFUSES, 4500",
        "REFUSES, 5900",
        "REFUSES, 7200",
        "SILENT, 2500",
        "SILENT, 3300",
        "SILENT, 4500",
        "SILENT, 5900",
        "SILENT, 7200"
    })
    void keepsUsingLiveServersDuringAndAfterAnOutage(SimulatedStore.Availability availability, long lengthMillis) {
        outage(3_000, 3_000 + lengthMillis, availability);
        for (long millis = 3_000; millis <= 9_000 + lengthMillis; millis += 50) {
            simulation.runUntil(millis);
            assertThat("servers in use at " + millis, simulation.minServersInUse(), is(SERVERS));
        }
    }

    /** A live server whose entry expired writes it again within 2 s of the store's recovery; others must be removed then. */
    @Test
    void stopsTwoSecondsAfterAnOutageInWhichTheServerWasRemoved() {
        outage(3_000, 7_500, SimulatedStore.Availability.REFUSES);
        removeServer(4_000);
        simulation.runUntil(7_000);
        assertThat(simulation.processesUsing(REMOVED), hasSize(PROCESSES));
        simulation.runUntil(7_500 + 3_000);

        assertThat(simulation.processesUsing(REMOVED), is(empty()));
        assertThat(List.of(simulation.minServersInUse()), is(List.of(SERVERS - 1)));
    }

    /** The bound applies to a process once the store itself reported the removal to it, even right after an outage. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "SILENT"})
    void stopsInTimeInEachProcessToWhichTheStoreReportedTheRemoval(SimulatedStore.Availability availability) {
        outage(3_000, 7_500, availability);
        removeServer(4_000);
        for (long millis = 7_500; millis <= 11_000; millis += 10) {
            simulation.runUntil(millis);
            long boundMillis = millis - DRAIN_MILLIS + DELIVERY_MILLIS;
            List<Integer> late = simulation.processesUsing(REMOVED).stream()
                    .filter(process -> simulation
                            .store()
                            .removalReportedMillis(process, REMOVED)
                            .filter(reportedMillis -> reportedMillis < boundMillis)
                            .isPresent())
                    .toList();
            assertThat("processes that use the removed server at " + millis, late, is(empty()));
        }
    }
}
