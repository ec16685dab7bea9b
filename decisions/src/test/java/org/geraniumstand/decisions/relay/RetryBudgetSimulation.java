package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Simulates processes that retry the calls of one service, in virtual time. Processes learn of each other with a delay
 * and have no contact to the store.
 */
final class RetryBudgetSimulation {
    private static final double RATIO = 0.2;
    private static final double SLACK = 54;
    private static final int WINDOW_MILLIS = 10_000;
    private static final int ASSUMED_PROCESSES = 330;
    private static final int MAX_ATTEMPTS = 4;
    private static final double FAILED = 0.9;
    private static final int MAX_TRANSIT_MILLIS = 20;
    private static final int MEMBERSHIP_MILLIS = 400;
    private static final int MAX_DISCOVERY_MILLIS = 5_000;
    private static final int DETECTION_MILLIS = 4_000;

    private final Random random;
    private final int durationMillis;
    private double callsPerSecond;
    private final IntPredicate failing;
    private final List<Participant> participants = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingInt(Event::millis).thenComparingLong(Event::sequence));
    private final List<Participant> rolled = new ArrayList<>();
    private final int[] requests;
    private final int[] retries;
    private long sequence;
    private int millis;

    private record Event(int millis, long sequence, Runnable action) {}

    /** One life of a process. */
    private final class Participant {
        private final ProcessCount count = new ProcessCount(ASSUMED_PROCESSES, now());
        private final RelayRetryBudget budget = new RelayRetryBudget(RATIO, SLACK, WINDOW_MILLIS);
        private final List<Runnable> delayed = new ArrayList<>();
        private final int startMillis = millis;
        private final int salt = random.nextInt();
        private int endMillis = Integer.MAX_VALUE;
        private int group;
        private int separatedMillis = Integer.MIN_VALUE;
        private boolean frozen;

        boolean live() {
            return endMillis == Integer.MAX_VALUE;
        }

        boolean reaches(Participant other) {
            return other.live() && !other.frozen && group == other.group;
        }

        /** Returns whether the other process counts as live for this one; a loss is detected after some seconds. */
        boolean counts(Participant other) {
            if (this == other) {
                return true;
            }
            int discovery = Math.floorMod(salt ^ other.salt, MAX_DISCOVERY_MILLIS);
            boolean known = millis - Math.max(startMillis, other.startMillis) >= discovery;
            int lostMillis = Math.max(
                    other.live() ? Integer.MIN_VALUE : other.endMillis,
                    Math.max(separatedMillis, other.separatedMillis));
            boolean undetected = lostMillis != Integer.MIN_VALUE && millis - lostMillis < DETECTION_MILLIS;
            return known && (reaches(other) || undetected);
        }

        void updateMembers() {
            count.onActive(now());
            count.onLive((int) participants.stream().filter(this::counts).count(), now());
            every(MEMBERSHIP_MILLIS, this::updateMembers);
        }

        void sendCall() {
            requests[millis]++;
            run(this::onRequest);
            every((int) Math.ceil(-Math.log(1 - random.nextDouble()) * 1_000 / callsPerSecond), this::sendCall);
        }

        private void onRequest() {
            budget.onRequest(now());
            for (int attempt = 1; attempt < MAX_ATTEMPTS && fails(); attempt++) {
                if (!budget.tryAcquire(count.allowanceShare(WINDOW_MILLIS, now()), now())) {
                    return;
                }
                int arrival = millis + random.nextInt(MAX_TRANSIT_MILLIS);
                if (arrival < durationMillis) {
                    retries[arrival]++;
                }
            }
        }

        private boolean fails() {
            return failing.test(millis) && random.nextDouble() < FAILED;
        }

        private void run(Runnable action) {
            if (frozen) {
                delayed.add(action);
            } else if (live()) {
                action.run();
            }
        }

        private void every(int afterMillis, Runnable action) {
            if (live()) {
                at(millis + Math.max(1, afterMillis), () -> run(action));
            }
        }

        void end() {
            endMillis = millis;
        }

        void freeze() {
            frozen = true;
            separatedMillis = millis;
        }

        void thaw() {
            frozen = false;
            List<Runnable> due = List.copyOf(delayed);
            delayed.clear();
            due.forEach(Runnable::run);
        }

        void moveTo(int nextGroup) {
            group = nextGroup;
            separatedMillis = millis;
        }
    }

    /**
     * Holds the figures of a simulation.
     *
     * @param worst largest number of retries in a window, as a fraction of what the rule allows
     * @param used mean of this fraction over the last quarter of the time
     */
    record Figures(double worst, double used) {}

    /**
     * Creates a simulation.
     *
     * @param count number of processes
     * @param callsPerSecond calls that each process receives
     * @param durationMillis simulated time
     * @param failing whether servers refuse most calls at a millisecond
     * @param seed seed of all random choices
     */
    RetryBudgetSimulation(int count, double callsPerSecond, int durationMillis, IntPredicate failing, long seed) {
        this.callsPerSecond = callsPerSecond;
        this.durationMillis = durationMillis;
        this.failing = failing;
        this.random = new Random(seed);
        this.requests = new int[durationMillis];
        this.retries = new int[durationMillis];
        IntStream.range(0, count).forEach(_i -> start());
    }

    private Participant start() {
        Participant participant = new Participant();
        participants.add(participant);
        at(millis, participant::updateMembers);
        at(millis + 1 + random.nextInt(200), participant::sendCall);
        return participant;
    }

    /** Kills a fraction of the processes and starts them again at once, repeatedly. */
    RetryBudgetSimulation kill(double fraction, int fromMillis, int untilMillis, int intervalMillis) {
        for (int time = fromMillis; time < untilMillis; time += intervalMillis) {
            at(
                    time,
                    () -> sample(fraction).forEach(process -> {
                        process.end();
                        start();
                    }));
        }
        return this;
    }

    /** Kills a fraction of the processes, which start again after a while. */
    RetryBudgetSimulation restart(double fraction, int fromMillis, int downMillis) {
        at(
                fromMillis,
                () -> sample(fraction).forEach(process -> {
                    process.end();
                    at(millis + downMillis, this::start);
                }));
        return this;
    }

    /** Kills a fraction of the processes for good; the others receive their calls. */
    RetryBudgetSimulation remove(double fraction, int fromMillis) {
        at(fromMillis, () -> {
            List<Participant> ended = sample(fraction);
            callsPerSecond /= 1 - (double) ended.size() / participants.size();
            ended.forEach(Participant::end);
        });
        return this;
    }

    /** Replaces the processes one by one, oldest first; old and new run side by side for a while. */
    RetryBudgetSimulation roll(int fromMillis, int untilMillis, int intervalMillis, int overlapMillis) {
        for (int time = fromMillis; time < untilMillis; time += intervalMillis) {
            at(time, () -> {
                Participant old = participants.stream()
                        .filter(Participant::live)
                        .filter(process -> !rolled.contains(process))
                        .findFirst()
                        .orElseThrow();
                rolled.add(old);
                start();
                at(millis + overlapMillis, old::end);
            });
        }
        return this;
    }

    /** Freezes a fraction of the processes. */
    RetryBudgetSimulation freeze(double fraction, int fromMillis, int forMillis) {
        return disturb(fraction, fromMillis, forMillis, (_i, process) -> process.freeze(), Participant::thaw);
    }

    /** Cuts a fraction of the processes off from the others. */
    RetryBudgetSimulation cut(double fraction, int fromMillis, int forMillis) {
        return disturb(
                fraction, fromMillis, forMillis, (_i, process) -> process.moveTo(1), process -> process.moveTo(0));
    }

    /** Cuts each process off from all others. */
    RetryBudgetSimulation isolate(int fromMillis, int forMillis) {
        return disturb(1, fromMillis, forMillis, (i, process) -> process.moveTo(i + 1), process -> process.moveTo(0));
    }

    private interface Disturbance {
        void apply(int index, Participant process);
    }

    private RetryBudgetSimulation disturb(
            double fraction, int fromMillis, int forMillis, Disturbance begin, Consumer<Participant> end) {
        at(fromMillis, () -> {
            List<Participant> affected = sample(fraction);
            IntStream.range(0, affected.size()).forEach(i -> begin.apply(i, affected.get(i)));
            at(
                    millis + forMillis,
                    () -> affected.stream().filter(Participant::live).forEach(end));
        });
        return this;
    }

    private List<Participant> sample(double fraction) {
        List<Participant> live =
                new ArrayList<>(participants.stream().filter(Participant::live).toList());
        Collections.shuffle(live, random);
        return live.subList(0, (int) Math.ceil(live.size() * fraction));
    }

    private void at(int time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    /** Runs the simulation and returns its figures. */
    Figures run() {
        while (!events.isEmpty() && events.peek().millis() < durationMillis) {
            Event event = events.remove();
            millis = event.millis();
            event.action().run();
            participants.removeIf(process -> !process.live() && millis - process.endMillis > DETECTION_MILLIS);
        }
        long[] requestSums = sums(requests);
        long[] retrySums = sums(retries);
        Predicate<Integer> counted = start -> start + WINDOW_MILLIS <= durationMillis;
        ToDoubleFunction<Integer> usedInWindow = start -> {
            long most = Math.max(
                    sum(requestSums, start),
                    Math.max(sum(requestSums, start - WINDOW_MILLIS), sum(requestSums, start - WINDOW_MILLIS / 2)));
            return sum(retrySums, start) / (RATIO * most + SLACK);
        };
        double worst = IntStream.range(0, durationMillis)
                .boxed()
                .filter(counted)
                .mapToDouble(usedInWindow)
                .max()
                .orElse(0);
        double used = IntStream.range(durationMillis * 3 / 4, durationMillis)
                .boxed()
                .filter(counted)
                .mapToDouble(usedInWindow)
                .average()
                .orElse(0);
        return new Figures(worst, used);
    }

    private static long[] sums(int[] counts) {
        long[] sums = new long[counts.length + 1];
        for (int i = 0; i < counts.length; i++) {
            sums[i + 1] = sums[i] + counts[i];
        }
        return sums;
    }

    private long sum(long[] sums, int start) {
        int from = Math.max(0, Math.min(durationMillis, start));
        int until = Math.max(0, Math.min(durationMillis, start + WINDOW_MILLIS));
        return sums[until] - sums[from];
    }

    private long now() {
        return millis * Calls.MILLI;
    }
}
