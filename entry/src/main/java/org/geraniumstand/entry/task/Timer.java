package org.geraniumstand.entry.task;

/** Runs tasks later, on the thread that owns the state they change. */
@FunctionalInterface
public interface Timer {
    /**
     * Runs a task after a delay.
     *
     * @param task the task
     * @param delayMillis the delay in milliseconds
     */
    void after(Runnable task, long delayMillis);
}
