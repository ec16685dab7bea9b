package org.geraniumstand.entry.task;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in order of their due times in virtual time. */
public final class VirtualTimer implements Timer {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private long nowMillis;
    private long count;

    private record Task(long atMillis, long number, Runnable body) {}

    @Override
    public void after(Runnable task, long delayMillis) {
        count++;
        tasks.add(new Task(nowMillis + Math.max(0, delayMillis), count, task));
    }

    public void runUntil(long endMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task next = tasks.poll();
            nowMillis = next.atMillis();
            next.body().run();
        }
        nowMillis = endMillis;
    }
}
