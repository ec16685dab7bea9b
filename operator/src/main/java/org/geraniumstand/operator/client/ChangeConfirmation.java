package org.geraniumstand.operator.client;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Waits until an accepted change is in force at every live member. */
public final class ChangeConfirmation {
    private static final long POLL_MILLIS = 100;

    private ChangeConfirmation() {}

    /**
     * Waits until a generation is in force at every live member, and prints the result or the members that have not
     * confirmed it in time.
     *
     * @param client sends the requests
     * @param generation the generation of the configuration that contains the change
     * @param waitSeconds the maximum wait in seconds; zero returns at once
     * @param console receives the result
     */
    public static ExitCode await(OperatorClient client, long generation, double waitSeconds, Console console) {
        if (waitSeconds <= 0) {
            return ExitCode.DONE;
        }
        long start = System.nanoTime();
        long deadline = start + (long) (waitSeconds * TimeUnit.SECONDS.toNanos(1));
        Map<ProcessId, Long> generations = ProcessStatuses.discover(client).generations();
        while (!unconfirmed(generations, generation).isEmpty() && System.nanoTime() < deadline) {
            if (!sleep()) {
                return ExitCode.NOT_CONFIRMED;
            }
            generations = ProcessStatuses.discover(client).generations();
        }
        List<ProcessId> unconfirmed = unconfirmed(generations, generation);
        if (!unconfirmed.isEmpty()) {
            String processes = unconfirmed.stream().map(ProcessId::value).collect(Collectors.joining(", "));
            console.printError("Generation " + generation + " was accepted, but not confirmed by: " + processes);
            return ExitCode.NOT_CONFIRMED;
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        console.print("Generation " + generation + " is in force at all " + generations.size() + " members after "
                + millis + " ms.");
        return ExitCode.DONE;
    }

    private static List<ProcessId> unconfirmed(Map<ProcessId, Long> generations, long generation) {
        return generations.entrySet().stream()
                .filter(entry -> entry.getValue() < generation)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static boolean sleep() {
        try {
            Thread.sleep(POLL_MILLIS);
            return true;
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
