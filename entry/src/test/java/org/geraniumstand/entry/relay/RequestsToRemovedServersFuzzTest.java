package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Removes servers unannounced during random store outages, network cuts, process losses and compactions. */
final class RequestsToRemovedServersFuzzTest {
    private static final int SEEDS = 150;
    private static final int PROCESSES = 10;
    private static final int SERVERS = 16;
    private static final int REMOVED_SERVERS = 6;
    private static final int FAULTS = 7;
    private static final int SCENARIO_MILLIS = 40_000;
    private static final int STEP_MILLIS = 50;

    /** Time for a request to reach a server, in milliseconds. */
    private static final long DELIVERY_MILLIS = 50;

    /** A time span in which the store or a process is disrupted. */
    private record Disruption(long fromMillis, long untilMillis) {
        boolean overlaps(long fromOther, long untilOther) {
            return fromMillis <= untilOther && fromOther <= untilMillis;
        }
    }

    /** A scenario that is generated from a seed. */
    private static final class Scenario {
        private final Random random;
        private final long drainMillis;
        private final long contactMillis;
        private final ServerRemovalSimulation simulation;
        private final List<Disruption> storeDisruptions = new ArrayList<>();
        private final Map<Integer, List<Disruption>> processDisruptions = new HashMap<>();
        private final Map<String, Long> removedMillis = new HashMap<>();

        private Scenario(long seed, long drainMillis, long contactMillis) {
            this.random = new Random(seed);
            this.drainMillis = drainMillis;
            this.contactMillis = contactMillis;
            this.simulation =
                    new ServerRemovalSimulation(PROCESSES, SERVERS, new StoreBounds(drainMillis, contactMillis));
            for (int i = 0; i < REMOVED_SERVERS; i++) {
                String server = "server-" + i;
                long at = 4_000L + random.nextInt(SCENARIO_MILLIS - 8_000);
                removedMillis.put(server, at);
                simulation.at(at, () -> simulation.store().removeUnannounced(server));
            }
            for (int i = 0; i < FAULTS; i++) {
                long from = 3_000L + random.nextInt(SCENARIO_MILLIS - 6_000);
                long until = from + 500 + random.nextInt(6_000);
                addFault(from, until);
            }
        }

        private void addFault(long from, long until) {
            SimulatedStore.Availability availability =
                    random.nextBoolean() ? SimulatedStore.Availability.REFUSES : SimulatedStore.Availability.SILENT;
            switch (random.nextInt(4)) {
                case 0 -> {
                    storeDisruptions.add(new Disruption(from, until));
                    simulation.at(from, () -> simulation.store().setAvailability(availability));
                    simulation.at(until, () -> simulation.store().setAvailability(SimulatedStore.Availability.ANSWERS));
                }
                case 1 -> {
                    long end = from + 1_000;
                    storeDisruptions.add(new Disruption(from, end));
                    simulation.at(from, simulation.store()::beginCompaction);
                    simulation.at(end, simulation.store()::endCompaction);
                }
                case 2 ->
                    simulation.at(from, () -> cutOff(selectProcesses(), availability, new Disruption(from, until)));
                default -> simulation.at(from, () -> killAndReplace(selectProcesses()));
            }
        }

        /** Selects either the store readers or a random set of live processes. */
        private List<Integer> selectProcesses() {
            return random.nextBoolean()
                    ? simulation.readers()
                    : simulation.liveProcesses().stream()
                            .filter(_n -> random.nextInt(3) == 0)
                            .toList();
        }

        private void cutOff(List<Integer> processes, SimulatedStore.Availability availability, Disruption disruption) {
            for (int process : processes) {
                processDisruptions
                        .computeIfAbsent(process, _key -> new ArrayList<>())
                        .add(disruption);
                simulation.store().setAvailabilityFor(process, availability);
                simulation.at(
                        disruption.untilMillis(),
                        () -> simulation.store().setAvailabilityFor(process, SimulatedStore.Availability.ANSWERS));
            }
        }

        private void killAndReplace(List<Integer> processes) {
            if (processes.size() == simulation.liveProcesses().size()) {
                return;
            }
            simulation.kill(processes);
            simulation.after(
                    2_000,
                    () -> processes.forEach(_process -> {
                        long now = simulation.millis();
                        processDisruptions.put(simulation.start(), new ArrayList<>(List.of(new Disruption(now, now))));
                    }));
        }

        private boolean storeStableBefore(long untilMillis) {
            return storeDisruptions.stream()
                    .noneMatch(disruption -> disruption.overlaps(untilMillis - contactMillis, untilMillis));
        }

        private boolean processStableBefore(int process, long millis) {
            return processDisruptions.getOrDefault(process, List.of()).stream()
                    .noneMatch(disruption -> disruption.overlaps(millis - contactMillis, millis));
        }

        /**
         * Returns whether a process must not use a server any more, as the drain time is over and no recent disruption of
         * the store or the process allows a later use.
         */
        private boolean forbiddenByRemoval(int process, String server, long millis) {
            long removed = removedMillis.get(server);
            return storeStableBefore(removed)
                    && millis > removed + drainMillis - DELIVERY_MILLIS
                    && storeStableBefore(millis)
                    && processStableBefore(process, millis);
        }

        /**
         * Returns whether a process must not use a server any more, as the store reported the removal to it; the current
         * state of the store does not matter.
         */
        private boolean forbiddenByReport(int process, String server, long millis) {
            return processStableBefore(process, millis)
                    && simulation
                            .store()
                            .removalReportedMillis(process, server)
                            .filter(reportedMillis -> millis > reportedMillis + drainMillis - DELIVERY_MILLIS)
                            .isPresent();
        }

        /** Runs the scenario and returns the first use of a server by a process that must not use it any more. */
        private Optional<String> firstLateUse(UsageRule rule) {
            for (long millis = 0; millis <= SCENARIO_MILLIS; millis += STEP_MILLIS) {
                simulation.runUntil(millis);
                for (Map.Entry<String, Long> removed : removedMillis.entrySet()) {
                    long now = millis;
                    Optional<Integer> lateProcess = simulation.processesUsing(removed.getKey()).stream()
                            .filter(process -> rule.forbidsUse(this, process, removed.getKey(), now))
                            .findFirst();
                    if (lateProcess.isPresent()) {
                        return Optional.of("%s was removed at %d ms and is used at %d ms by process %d"
                                .formatted(removed.getKey(), removed.getValue(), now, lateProcess.get()));
                    }
                }
            }
            return Optional.empty();
        }
    }

    /** A rule that determines whether a process must not use a server any more. */
    @FunctionalInterface
    private interface UsageRule {
        boolean forbidsUse(Scenario scenario, int process, String server, long millis);
    }

    /** Runs with the bounds of the smaller and of the larger deployments. */
    @ParameterizedTest
    @CsvSource({"2000, 3000", "3000, 4000"})
    void noUndisturbedProcessUsesARemovedServerForTooLong(long drainMillis, long contactMillis) {
        assertThat(lateUses(drainMillis, contactMillis, Scenario::forbiddenByRemoval), is(List.of()));
    }

    @ParameterizedTest
    @CsvSource({"2000, 3000", "3000, 4000"})
    void noProcessUsesARemovedServerForTooLongAfterTheStoreReportedIt(long drainMillis, long contactMillis) {
        assertThat(lateUses(drainMillis, contactMillis, Scenario::forbiddenByReport), is(List.of()));
    }

    private static List<String> lateUses(long drainMillis, long contactMillis, UsageRule rule) {
        List<String> violations = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            long currentSeed = seed;
            new Scenario(seed, drainMillis, contactMillis)
                    .firstLateUse(rule)
                    .ifPresent(violation -> violations.add("seed " + currentSeed + ": " + violation));
        }
        return violations;
    }
}
