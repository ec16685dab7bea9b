package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.entry.task.Timer;

/** Keeps tasks until the test runs them. */
final class ManualTimer implements Timer {
    private record Task(Runnable step, long delayMillis) {}

    private final List<Task> tasks = new ArrayList<>();

    @Override
    public void after(Runnable step, long delayMillis) {
        tasks.add(new Task(step, delayMillis));
    }

    /** Runs the tasks that wait for at most so long, and not those that they add. */
    void run(long withinMillis) {
        List<Task> due =
                tasks.stream().filter(t -> t.delayMillis() <= withinMillis).toList();
        tasks.removeAll(due);
        due.forEach(task -> task.step().run());
    }
}
