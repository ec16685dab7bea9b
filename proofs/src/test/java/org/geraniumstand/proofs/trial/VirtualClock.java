package org.geraniumstand.proofs.trial;

import java.util.PriorityQueue;
import org.geraniumstand.model.time.Timestamp;

/** Runs scheduled events in virtual time; events with equal times run in the order in which they were scheduled. */
public final class VirtualClock {
    /** Wall clock reading at the start, in milliseconds since 1970. */
    public static final long START_EPOCH_MILLIS = 1_900_000_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nanos;
    private long sequence;

    private record Event(long at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    /** Returns the virtual time in milliseconds since the start. */
    public double millis() {
        return nanos / NANOS_PER_MILLI;
    }

    /**
     * Returns the current timestamp of a process whose monotonic clock has an offset.
     *
     * @param offsetNanos reading of the monotonic clock of the process at the start, in nanoseconds
     */
    public Timestamp timestamp(long offsetNanos) {
        return new Timestamp(nanos + offsetNanos, START_EPOCH_MILLIS + nanos / Timestamp.NANOS_PER_MILLI);
    }

    /**
     * Schedules a task after a delay.
     *
     * @param delayMillis delay, in milliseconds
     * @param task task to run
     */
    public void after(double delayMillis, Runnable task) {
        events.add(new Event(nanos + Math.round(delayMillis * NANOS_PER_MILLI), sequence++, task));
    }

    /**
     * Schedules a task at a given time.
     *
     * @param millis time of the task, in milliseconds since the start
     * @param task task to run
     */
    public void at(double millis, Runnable task) {
        after(Math.max(0, millis - millis()), task);
    }

    /**
     * Schedules a task periodically.
     *
     * @param firstDelayMillis delay of the first run, in milliseconds
     * @param intervalMillis interval between runs, in milliseconds
     * @param task task to run
     */
    public void every(double firstDelayMillis, double intervalMillis, Runnable task) {
        after(firstDelayMillis, () -> {
            task.run();
            every(intervalMillis, intervalMillis, task);
        });
    }

    /**
     * Runs all events up to and including a given time.
     *
     * @param millis end time, in milliseconds since the start
     */
    public void runUntil(double millis) {
        long end = Math.round(millis * NANOS_PER_MILLI);
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            nanos = Math.max(nanos, event.at());
            event.task().run();
        }
        nanos = Math.max(nanos, end);
    }
}
