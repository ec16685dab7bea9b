package org.geraniumstand.entry.relay;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.time.Moment;

/** Runs tasks at their time on a clock that only the test moves. */
final class VirtualTimer implements Timer {
    private record Task(Runnable step, long atMillis, long order) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
    private long millis;
    private long order;

    @Override
    public void after(Runnable step, long delayMillis) {
        order++;
        tasks.add(new Task(step, millis + delayMillis, order));
    }

    /** Runs a task at a time. */
    void at(long atMillis, Runnable step) {
        after(step, atMillis - millis);
    }

    /** Returns the time in milliseconds. */
    long millis() {
        return millis;
    }

    /** Returns the time in nanoseconds. */
    long nanos() {
        return millis * Moment.NANOS_PER_MILLI;
    }

    /** Moves the clock on and runs all that is due until then. */
    void runUntil(long untilMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
            Task task = tasks.remove();
            millis = Math.max(millis, task.atMillis());
            task.step().run();
        }
        millis = untilMillis;
    }
}
