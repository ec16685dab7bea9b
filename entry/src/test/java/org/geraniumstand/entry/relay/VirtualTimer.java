package org.geraniumstand.entry.relay;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.time.Timestamp;

/** A timer on a virtual clock that only the test advances. */
final class VirtualTimer implements Timer {
    private record Task(Runnable action, long atMillis, long order) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
    private long millis;
    private long order;

    @Override
    public void after(Runnable action, long delayMillis) {
        order++;
        tasks.add(new Task(action, millis + delayMillis, order));
    }

    /** Schedules a task at a point in time. */
    void at(long atMillis, Runnable action) {
        after(action, atMillis - millis);
    }

    /** Returns the virtual time in milliseconds. */
    long millis() {
        return millis;
    }

    /** Returns the virtual time in nanoseconds. */
    long nanos() {
        return millis * Timestamp.NANOS_PER_MILLI;
    }

    /** Advances the clock to the given time and runs all tasks that are due by then. */
    void runUntil(long untilMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
            Task task = tasks.remove();
            millis = Math.max(millis, task.atMillis());
            task.action().run();
        }
        millis = untilMillis;
    }
}
