package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one prompt part that crashes one server after the other (docs/incidents/crashing-prompt-part.md). */
final class CrashingPromptPartTest {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long MAX_SENDS = 3;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void stopsSendingAPartAfterItCrashedFiveServers(long seed) {
        CrashingPartSimulation simulation = new CrashingPartSimulation(seed, 1, 12);
        simulation.addCrashingPart(CrashingPartSimulation.CRASHING_PART);
        simulation.sendCalls(0, 4_000, 20, 0);
        simulation.sendCalls(4_000, 26_000, 20, 0.05);
        simulation.run(30_000);

        assertThat(simulation.crashMillis().size(), greaterThanOrEqualTo(3));
        assertThat(simulation.sendsAfterFifthCrash(CONTACT_MILLIS), lessThanOrEqualTo(MAX_SENDS));
    }
}
