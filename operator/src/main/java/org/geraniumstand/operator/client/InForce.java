package org.geraniumstand.operator.client;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Follows an accepted change until it is in force at every live member. */
public final class InForce {
    private static final long POLL_MILLIS = 100;

    private InForce() {}

    /**
     * Waits until a generation is in force everywhere and says so, or names who has not confirmed it.
     *
     * @param client makes the calls
     * @param generation the generation
     * @param waitSeconds longest time to wait, in seconds; zero not to wait
     * @param console where to print
     */
    public static ExitCode follow(OperatorClient client, long generation, double waitSeconds, Console console) {
        if (waitSeconds <= 0) {
            return ExitCode.DONE;
        }
        long start = System.nanoTime();
        long end = start + (long) (waitSeconds * TimeUnit.SECONDS.toNanos(1));
        Map<ProcessId, Long> known = Fleet.find(client).generations();
        while (!behind(known, generation).isEmpty() && System.nanoTime() < end) {
            if (!pause()) {
                return ExitCode.NOT_CONFIRMED;
            }
            known = Fleet.find(client).generations();
        }
        List<ProcessId> behind = behind(known, generation);
        if (!behind.isEmpty()) {
            String names = behind.stream().map(ProcessId::value).collect(Collectors.joining(", "));
            console.complain("Generation " + generation + " is accepted, but not confirmed by: " + names);
            return ExitCode.NOT_CONFIRMED;
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        console.print("Generation " + generation + " is in force at all " + known.size() + " members after " + millis
                + " ms.");
        return ExitCode.DONE;
    }

    private static List<ProcessId> behind(Map<ProcessId, Long> known, long generation) {
        return known.entrySet().stream()
                .filter(entry -> entry.getValue() < generation)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static boolean pause() {
        try {
            Thread.sleep(POLL_MILLIS);
            return true;
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
