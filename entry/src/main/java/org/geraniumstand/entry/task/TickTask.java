package org.geraniumstand.entry.task;

import org.geraniumstand.decisions.Observation;
import org.geraniumstand.http.CoreInbox;

/** Tells the core that time passed. */
public final class TickTask {
    private final Timer timer;
    private final CoreInbox core;

    /**
     * Creates a task.
     *
     * @param timer waits between ticks
     * @param core told of each tick
     */
    public TickTask(Timer timer, CoreInbox core) {
        this.timer = timer;
        this.core = core;
    }

    /** Starts; it goes on until the timer stops. */
    public void start() {
        core.observe(new Observation.Tick());
        timer.after(this::start, Observation.TICK_MILLIS);
    }
}
