package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.entry.task.Timer;

/** A timer that runs its tasks only when the test calls {@link #run}. */
final class ManualTimer implements Timer {
    private record Task(Runnable action, long delayMillis) {}

    private final List<Task> tasks = new ArrayList<>();

    @Override
    public void after(Runnable action, long delayMillis) {
        tasks.add(new Task(action, delayMillis));
    }

    /** Runs the tasks whose delay is at most the given number of milliseconds, but not the tasks that they add. */
    void run(long maxDelayMillis) {
        List<Task> due =
                tasks.stream().filter(t -> t.delayMillis() <= maxDelayMillis).toList();
        tasks.removeAll(due);
        due.forEach(task -> task.action().run());
    }
}
