package org.geraniumstand.proofs.trial;

import java.util.PriorityQueue;
import org.geraniumstand.model.time.Timestamp;

/** Virtual time with the events to come; events of the same time run in the order in which they were set. */
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

    /** Returns the milliseconds since the start. */
    public double millis() {
        return nanos / NANOS_PER_MILLI;
    }

    /**
     * Returns the moment as a process reads it whose monotonic clock started elsewhere.
     *
     * @param offsetNanos reading of its monotonic clock at the start, in nanoseconds
     */
    public Timestamp moment(long offsetNanos) {
        return new Timestamp(nanos + offsetNanos, START_EPOCH_MILLIS + nanos / Timestamp.NANOS_PER_MILLI);
    }

    /**
     * Runs a task later.
     *
     * @param delayMillis how much later, in milliseconds
     * @param task the task
     */
    public void after(double delayMillis, Runnable task) {
        events.add(new Event(nanos + Math.round(delayMillis * NANOS_PER_MILLI), sequence++, task));
    }

    /**
     * Runs a task at a time.
     *
     * @param millis the time, in milliseconds since the start
     * @param task the task
     */
    public void at(double millis, Runnable task) {
        after(Math.max(0, millis - millis()), task);
    }

    /**
     * Runs a task again and again.
     *
     * @param firstMillis when it runs first, in milliseconds from now
     * @param everyMillis how often it runs, in milliseconds
     * @param task the task
     */
    public void every(double firstMillis, double everyMillis, Runnable task) {
        after(firstMillis, () -> {
            task.run();
            every(everyMillis, everyMillis, task);
        });
    }

    /**
     * Runs all events up to a time.
     *
     * @param millis the time, in milliseconds since the start
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
