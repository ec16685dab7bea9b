package org.geraniumstand.entry.task;

/** Schedules tasks on the thread that owns the state they change. */
@FunctionalInterface
public interface Timer {
    /**
     * Runs a task after a delay.
     *
     * @param task task to run
     * @param delayMillis delay in milliseconds
     */
    void after(Runnable task, long delayMillis);
}
