package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.model.relay.ServicePart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one prompt part that crashes one server after the other (docs/incidents/crashing-prompt-part.md). */
final class CrashingPromptPartTest {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long MAX_SENDS = 3;

    private static Set<Long> quarantined(CrashingPartSimulation simulation) {
        return simulation.changes().stream()
                .filter(CrashingPrompts.Change::added)
                .flatMap(change -> change.parts().stream())
                .map(ServicePart::part)
                .collect(Collectors.toSet());
    }

    private static List<Long> soundQuarantined(CrashingPartSimulation simulation) {
        return quarantined(simulation).stream()
                .filter(part -> part != CrashingPartSimulation.CRASHING_PART
                        && part != CrashingPartSimulation.SECOND_CRASHING_PART)
                .toList();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void stopsSendingAPartAfterItCrashedFiveServers(long seed) {
        CrashingPartSimulation simulation = new CrashingPartSimulation(seed, 1, 12);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.sendCalls(0, 4_000, 20, 0);
        simulation.sendCalls(4_000, 26_000, 20, 0.05);
        simulation.run(30_000);

        // Fewer crashes would mean that the simulation does not exercise the fault.
        assertThat(simulation.crashMillis().size(), greaterThanOrEqualTo(3));
        assertThat(simulation.sendsAfterFifthCrash(CONTACT_MILLIS), lessThanOrEqualTo(MAX_SENDS));
    }

    /** No process sees more than a few of the crashes. */
    @ParameterizedTest
    @CsvSource({"1, 7, 0.05", "2, 7, 0.3", "3, 95, 0.05", "4, 95, 0.01", "5, 95, 0.3", "6, 330, 0.05", "7, 330, 0.02"})
    void stopsSendingAPartThatCrashesServersOfManyProcesses(long seed, int processes, double share) {
        CrashingPartSimulation simulation = new CrashingPartSimulation(seed, processes, 40);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.sendCalls(0, 4_000, 100, 0);
        simulation.sendCalls(4_000, 30_000, 100, share);
        simulation.run(32_000);

        assertThat(simulation.crashMillis().size(), greaterThanOrEqualTo(4));
        assertThat(simulation.sendsAfterFifthCrash(CONTACT_MILLIS), lessThanOrEqualTo(MAX_SENDS));
        assertThat(soundQuarantined(simulation), empty());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void findsTwoPartsThatCrashServersAtTheSameTime(long seed) {
        CrashingPartSimulation simulation = new CrashingPartSimulation(seed, 7, 30);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.addCrashingPart(CrashingPartSimulation.SECOND_CRASHING_PART);
        simulation.sendCalls(0, 4_000, 60, 0);
        simulation.sendCalls(4_000, 30_000, 60, 0.1);
        simulation.run(32_000);

        assertThat(quarantined(simulation).size(), greaterThanOrEqualTo(2));
        // Each of the two parts may be sent after the fifth crash of both together.
        assertThat(simulation.sendsAfterFifthCrash(2 * CONTACT_MILLIS), lessThanOrEqualTo(2 * MAX_SENDS));
        assertThat(soundQuarantined(simulation), empty());
    }

    /** Requests break in large numbers, and some parts are in many of them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void keepsSendingSoundPartsWhileServersCrashForOtherReasons(long seed) {
        CrashingPartSimulation simulation = new CrashingPartSimulation(seed, 7, 30);
        simulation.sendCalls(0, 40_000, 60, 0);
        for (long atMillis = 2_000; atMillis < 38_000; atMillis += 400) {
            simulation.crashServers(atMillis, 1);
        }
        for (long atMillis = 5_000; atMillis < 38_000; atMillis += 6_000) {
            simulation.crashServers(atMillis, 10);
        }
        simulation.run(40_000);

        assertThat(quarantined(simulation), empty());
        // Half of the requests; fewer would mean that the servers served almost nothing.
        assertThat(simulation.servedSound(), greaterThan(1_200));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void findsACrashingPartAmidUnrelatedCrashes(long seed) {
        CrashingPartSimulation simulation = new CrashingPartSimulation(seed, 7, 30);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.sendCalls(0, 4_000, 60, 0);
        simulation.sendCalls(4_000, 30_000, 60, 0.05);
        for (long atMillis = 3_000; atMillis < 30_000; atMillis += 700) {
            simulation.crashServers(atMillis, 1);
        }
        simulation.run(32_000);

        assertThat(simulation.sendsAfterFifthCrash(CONTACT_MILLIS), lessThanOrEqualTo(MAX_SENDS));
        assertThat(soundQuarantined(simulation), empty());
    }

    /** A caller adds the rare part of another caller to all of its own requests that crash servers. */
    @Test
    void servesAPartThatACallerAddsToCrashingRequests() {
        long victim = 5_000;
        CrashingPartSimulation simulation = new CrashingPartSimulation(1, 7, 20);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.sendCalls(0, 20_000, 40, 0);
        for (long atMillis = 4_000; atMillis < 15_000; atMillis += 700) {
            simulation.sendCall(
                    atMillis, CrashingPartSimulation.SYSTEM_PART, victim, CrashingPartSimulation.CRASHING_PART);
        }
        simulation.run(15_000);
        int served = simulation.servedSound();
        simulation.sendCall(15_100, CrashingPartSimulation.SYSTEM_PART, victim);
        simulation.run(20_000);

        assertThat(simulation.refusedSound(), is(0));
        assertThat(simulation.servedSound(), greaterThan(served));
        assertThat(simulation.sendsAfterFifthCrash(CONTACT_MILLIS), lessThanOrEqualTo(MAX_SENDS));
    }

    /** The process that adds up the evidence is replaced by one that knows nothing. */
    @Test
    void remembersACrashingPartWhenTheAggregatorRestarts() {
        CrashingPartSimulation simulation = new CrashingPartSimulation(1, 7, 20);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.sendCalls(0, 4_000, 60, 0);
        simulation.sendCalls(4_000, 20_000, 60, 0.05);
        simulation.at(10_000, () -> simulation.restart(0));
        simulation.at(12_000, () -> simulation.restart(3));
        simulation.run(22_000);

        assertThat(simulation.sendsAfterFifthCrash(CONTACT_MILLIS), lessThanOrEqualTo(MAX_SENDS));
    }

    /** The part crashes no server any more, so that a trial succeeds and all processes send it again. */
    @Test
    void releasesAPartThatIsSoundAgain() {
        CrashingPartSimulation simulation = new CrashingPartSimulation(1, 7, 20);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.sendCalls(0, 4_000, 60, 0);
        simulation.sendCalls(4_000, 60_000, 60, 0.05);
        simulation.at(12_000, () -> simulation.removeCrashingPart(CrashingPartSimulation.CRASHING_PART));
        simulation.run(60_000);

        assertThat(
                simulation.processes().stream()
                        .mapToInt(process -> process.crashingPrompts().quarantined())
                        .sum(),
                is(0));
    }

    /** While a part still crashes servers, trials are few however many processes there are. */
    @ParameterizedTest
    @ValueSource(ints = {7, 95})
    void sendsFewTrialsOfAPartThatStillCrashesServers(int processes) {
        CrashingPartSimulation simulation = new CrashingPartSimulation(1, processes, 20);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.sendCalls(0, 4_000, 60, 0);
        simulation.sendCalls(4_000, 70_000, 60, 0.05);
        simulation.run(72_000);

        assertThat(simulation.sendsAfterFifthCrash(CONTACT_MILLIS), lessThanOrEqualTo(MAX_SENDS));
    }

    /** Evidence rides on messages that every process sends several times a second, also long after the crashes. */
    @Test
    void boundsWhatProcessesReport() {
        CrashingPartSimulation simulation = new CrashingPartSimulation(1, 20, 40);
        simulation.sendCalls(0, 30_000, 200, 0);
        for (long atMillis = 2_000; atMillis < 12_000; atMillis += 150) {
            simulation.crashServers(atMillis, 1);
        }
        simulation.run(30_000);

        assertThat(simulation.maxReportedFacts(), lessThanOrEqualTo(112));
        assertThat(simulation.lastReportedFacts(), is(0));
    }
}
