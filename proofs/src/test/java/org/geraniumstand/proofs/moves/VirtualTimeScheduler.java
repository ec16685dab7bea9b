package org.geraniumstand.proofs.moves;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.geraniumstand.model.time.Timestamp;

/** Runs tasks in virtual time, in the order of their due times. */
final class VirtualTimeScheduler {
    private static final long EPOCH_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::order));
    private long nowMillis;
    private long order;

    private record Task(long dueMillis, long order, Runnable work) {}

    /** Returns the virtual time in milliseconds since the start. */
    long millis() {
        return nowMillis;
    }

    Timestamp now() {
        return new Timestamp(nowMillis * Timestamp.NANOS_PER_MILLI, epochMillis(nowMillis));
    }

    static long epochMillis(long sinceStart) {
        return EPOCH_MILLIS + sinceStart;
    }

    void after(long delayMillis, Runnable work) {
        tasks.add(new Task(nowMillis + Math.max(0, delayMillis), order++, work));
    }

    void every(long periodMillis, Runnable work) {
        after(periodMillis, () -> {
            work.run();
            every(periodMillis, work);
        });
    }

    void runUntil(long endMillis) {
        while (!tasks.isEmpty() && tasks.peek().dueMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = task.dueMillis();
            task.work().run();
        }
    }
}
