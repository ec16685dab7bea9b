package org.geraniumstand.entry.task;

import org.geraniumstand.decisions.Observation;
import org.geraniumstand.http.CoreInbox;

/** Sends periodic ticks to the core. */
public final class TickTask {
    private final Timer timer;
    private final CoreInbox core;

    /**
     * Creates a task that is not started.
     *
     * @param timer schedules the ticks
     * @param core receives the ticks
     */
    public TickTask(Timer timer, CoreInbox core) {
        this.timer = timer;
        this.core = core;
    }

    /** Starts the ticks, which continue until the timer stops. */
    public void start() {
        core.observe(new Observation.Tick());
        timer.after(this::start, Observation.TICK_MILLIS);
    }
}
