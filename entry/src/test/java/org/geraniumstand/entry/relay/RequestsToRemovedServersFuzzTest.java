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

/** Servers leave without a word among random outages, cuts, losses of processes and compactions. */
final class RequestsToRemovedServersFuzzTest {
    private static final int SEEDS = 150;
    private static final int PROCESSES = 10;
    private static final int SERVERS = 16;
    private static final int LEAVING = 6;
    private static final int FAULTS = 7;
    private static final int DAY_MILLIS = 40_000;
    private static final int STEP_MILLIS = 50;

    /** Milliseconds for a request on its way. */
    private static final long WAY_MILLIS = 50;

    /** A span of trouble of the store, or of one process. */
    private record Span(long fromMillis, long untilMillis) {
        boolean touches(long fromOther, long untilOther) {
            return fromMillis <= untilOther && fromOther <= untilMillis;
        }
    }

    /** A day drawn from a seed. */
    private static final class Day {
        private final Random random;
        private final long drainMillis;
        private final long contactMillis;
        private final ServerRemovalSimulation model;
        private final List<Span> storeTrouble = new ArrayList<>();
        private final Map<Integer, List<Span>> processTrouble = new HashMap<>();
        private final Map<String, Long> leftMillis = new HashMap<>();

        private Day(long seed, long drainMillis, long contactMillis) {
            this.random = new Random(seed);
            this.drainMillis = drainMillis;
            this.contactMillis = contactMillis;
            this.model = new ServerRemovalSimulation(PROCESSES, SERVERS, new StoreBounds(drainMillis, contactMillis));
            for (int i = 0; i < LEAVING; i++) {
                String server = "server-" + i;
                long at = 4_000L + random.nextInt(DAY_MILLIS - 8_000);
                leftMillis.put(server, at);
                model.at(at, () -> model.store().removeUnannounced(server));
            }
            for (int i = 0; i < FAULTS; i++) {
                long from = 3_000L + random.nextInt(DAY_MILLIS - 6_000);
                long until = from + 500 + random.nextInt(6_000);
                draw(from, until);
            }
        }

        private void draw(long from, long until) {
            SimulatedStore.Service how =
                    random.nextBoolean() ? SimulatedStore.Service.REFUSES : SimulatedStore.Service.SILENT;
            switch (random.nextInt(4)) {
                case 0 -> {
                    storeTrouble.add(new Span(from, until));
                    model.at(from, () -> model.store().treatAll(how));
                    model.at(until, () -> model.store().treatAll(SimulatedStore.Service.ANSWERS));
                }
                case 1 -> {
                    long end = from + 1_000;
                    storeTrouble.add(new Span(from, end));
                    model.at(from, model.store()::beginCompaction);
                    model.at(end, model.store()::endCompaction);
                }
                case 2 -> model.at(from, () -> cut(pick(), how, new Span(from, until)));
                default -> model.at(from, () -> lose(pick()));
            }
        }

        /** Picks the readers or some other processes. */
        private List<Integer> pick() {
            return random.nextBoolean()
                    ? model.readers()
                    : model.live().stream().filter(_n -> random.nextInt(3) == 0).toList();
        }

        private void cut(List<Integer> processes, SimulatedStore.Service how, Span span) {
            for (int process : processes) {
                processTrouble
                        .computeIfAbsent(process, _key -> new ArrayList<>())
                        .add(span);
                model.store().treat(process, how);
                model.at(span.untilMillis(), () -> model.store().treat(process, SimulatedStore.Service.ANSWERS));
            }
        }

        private void lose(List<Integer> processes) {
            if (processes.size() == model.live().size()) {
                return;
            }
            model.kill(processes);
            model.after(
                    2_000,
                    () -> processes.forEach(_process -> {
                        long now = model.millis();
                        processTrouble.put(model.start(), new ArrayList<>(List.of(new Span(now, now))));
                    }));
        }

        private boolean stableFor(long untilMillis) {
            return storeTrouble.stream().noneMatch(span -> span.touches(untilMillis - contactMillis, untilMillis));
        }

        private boolean calm(int process, long millis) {
            return processTrouble.getOrDefault(process, List.of()).stream()
                    .noneMatch(span -> span.touches(millis - contactMillis, millis));
        }

        /** Returns whether a process must not use a server any more, as the store took note that it left. */
        private boolean boundByStore(int process, String server, long millis) {
            long left = leftMillis.get(server);
            return stableFor(left)
                    && millis > left + drainMillis - WAY_MILLIS
                    && stableFor(millis)
                    && calm(process, millis);
        }

        /** Returns whether a process must not use a server any more, as the store told it, however the store does now. */
        private boolean boundByAnswer(int process, String server, long millis) {
            return calm(process, millis)
                    && model.store()
                            .toldGoneMillis(process, server)
                            .filter(told -> millis > told + drainMillis - WAY_MILLIS)
                            .isPresent();
        }

        /** Plays the day and returns the first use of a server by a process that is bound not to use it. */
        private Optional<String> firstLateUse(Bound bound) {
            for (long millis = 0; millis <= DAY_MILLIS; millis += STEP_MILLIS) {
                model.runUntil(millis);
                for (Map.Entry<String, Long> left : leftMillis.entrySet()) {
                    long now = millis;
                    Optional<Integer> late = model.using(left.getKey()).stream()
                            .filter(process -> bound.holds(this, process, left.getKey(), now))
                            .findFirst();
                    if (late.isPresent()) {
                        return Optional.of("%s left at %d and is used at %d by %d"
                                .formatted(left.getKey(), left.getValue(), now, late.get()));
                    }
                }
            }
            return Optional.empty();
        }
    }

    /** Tells whether a process must not use a server any more. */
    @FunctionalInterface
    private interface Bound {
        boolean holds(Day day, int process, String server, long millis);
    }

    /** The bounds of the smaller and of the larger deployments. */
    @ParameterizedTest
    @CsvSource({"2000, 3000", "3000, 4000"})
    void nobodyInTouchUsesAServerForLongerThanAllowed(long drainMillis, long contactMillis) {
        assertThat(lateUses(drainMillis, contactMillis, Day::boundByStore), is(List.of()));
    }

    @ParameterizedTest
    @CsvSource({"2000, 3000", "3000, 4000"})
    void nobodyUsesAServerForLongerThanAllowedAfterTheStoreToldIt(long drainMillis, long contactMillis) {
        assertThat(lateUses(drainMillis, contactMillis, Day::boundByAnswer), is(List.of()));
    }

    private static List<String> lateUses(long drainMillis, long contactMillis, Bound bound) {
        List<String> late = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            long drawn = seed;
            new Day(seed, drainMillis, contactMillis)
                    .firstLateUse(bound)
                    .ifPresent(use -> late.add("seed " + drawn + ": " + use));
        }
        return late;
    }
}
