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

/** Requests reached servers for longer than allowed after their entries were removed from the store. */
final class RequestsToRemovedServersTest {
    private static final int PROCESSES = 12;
    private static final int SERVERS = 20;

    /** Milliseconds for which a server that leaves goes on, the {@code drainMs} of the smaller deployments. */
    private static final long DRAIN_MILLIS = 2_000;

    /** Milliseconds after a disruption from which the bound holds, the {@code contactMs} of the same deployments. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Milliseconds for a request on its way. */
    private static final long WAY_MILLIS = 50;

    private static final String LEAVING = "server-3";

    private final ServerRemovalSimulation model =
            new ServerRemovalSimulation(PROCESSES, SERVERS, new StoreBounds(DRAIN_MILLIS, CONTACT_MILLIS));

    private void outage(long fromMillis, long untilMillis, SimulatedStore.Service how) {
        model.at(fromMillis, () -> model.store().treatAll(how));
        model.at(untilMillis, () -> model.store().treatAll(SimulatedStore.Service.ANSWERS));
    }

    private void leave(long atMillis) {
        model.at(atMillis, () -> model.store().removeUnannounced(LEAVING));
    }

    /** Checks that nobody uses the server once requests to it would arrive too late. */
    private void assertLeftInTime(long leftMillis) {
        model.runUntil(leftMillis + DRAIN_MILLIS - WAY_MILLIS);

        assertThat("processes that use it", model.using(LEAVING), is(empty()));
        assertThat("servers that all others still use", model.fewestUsed(), is(SERVERS - 1));
    }

    @Test
    void isLeftAtOnceOnACalmDay() {
        leave(5_000);
        model.runUntil(5_300);

        assertThat(model.using(LEAVING), is(empty()));
    }

    /** The processes that had asked the store were killed when a server left, 9 s after an outage. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "SILENT"})
    void isLeftInTimeWhenReadersEndLongAfterAnOutage(SimulatedStore.Service how) {
        outage(3_000, 7_000, how);
        model.at(15_900, () -> model.kill(model.readers()));
        leave(16_005);

        assertLeftInTime(16_005);
    }

    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "SILENT"})
    void isLeftAtOnceLongAfterAnOutage(SimulatedStore.Service how) {
        outage(3_000, 7_000, how);
        leave(16_000);
        model.runUntil(16_300);

        assertThat(model.using(LEAVING), is(empty()));
    }

    /** The store served everybody else, so that no entry lapsed. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "SILENT"})
    void isLeftAtOnceByOthersWhenOneReaderIsCutOff(SimulatedStore.Service how) {
        int cutOff = model.readers().get(0);
        model.at(3_000, () -> model.store().treat(cutOff, how));
        model.at(7_000, () -> model.store().treat(cutOff, SimulatedStore.Service.ANSWERS));
        leave(8_000);
        model.runUntil(8_500);

        assertThat(model.using(LEAVING), is(empty()));
    }

    /** Only some processes saw the end of the history, the others waited for changes that they could not hear of. */
    @Test
    void isLeftInTimeAroundACompaction() {
        model.at(5_000, () -> model.store().beginCompaction());
        leave(5_500);
        model.at(6_000, () -> model.store().endCompaction());
        model.runUntil(6_000 + DRAIN_MILLIS - WAY_MILLIS);

        assertThat(model.using(LEAVING), is(empty()));
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
    void livingServersStayInUseAroundAnOutage(SimulatedStore.Service how, long lengthMillis) {
        outage(3_000, 3_000 + lengthMillis, how);
        for (long millis = 3_000; millis <= 9_000 + lengthMillis; millis += 50) {
            model.runUntil(millis);
            assertThat("servers in use at " + millis, model.fewestUsed(), is(SERVERS));
        }
    }

    /** A server that lived and whose entry lapsed is back within 2 s of the store's return; one that is not is gone. */
    @Test
    void isLeftTwoSecondsAfterAnOutageInWhichItVanished() {
        outage(3_000, 7_500, SimulatedStore.Service.REFUSES);
        leave(4_000);
        model.runUntil(7_000);
        assertThat(model.using(LEAVING), hasSize(PROCESSES));
        model.runUntil(7_500 + 3_000);

        assertThat(model.using(LEAVING), is(empty()));
        assertThat(List.of(model.fewestUsed()), is(List.of(SERVERS - 1)));
    }

    /** A process that was told of it by the store itself is bound from then on, also right after an outage. */
    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "SILENT"})
    void isLeftInTimeByEachProcessThatTheStoreTold(SimulatedStore.Service how) {
        outage(3_000, 7_500, how);
        leave(4_000);
        for (long millis = 7_500; millis <= 11_000; millis += 10) {
            model.runUntil(millis);
            long boundMillis = millis - DRAIN_MILLIS + WAY_MILLIS;
            List<Integer> late = model.using(LEAVING).stream()
                    .filter(process -> model.store()
                            .toldGoneMillis(process, LEAVING)
                            .filter(told -> told < boundMillis)
                            .isPresent())
                    .toList();
            assertThat("processes that use it at " + millis, late, is(empty()));
        }
    }
}
