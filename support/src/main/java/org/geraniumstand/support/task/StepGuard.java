package org.geraniumstand.support.task;

import java.util.concurrent.atomic.LongAdder;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.log.StackSummary;

/** Runs steps so that an exception ends only the step that throws it, and logs and counts these exceptions; thread-safe. */
public final class StepGuard {
    private static final Log LOG = Log.of(StepGuard.class);

    private final String owner;
    private final LongAdder failures = new LongAdder();

    /**
     * Creates a guard.
     *
     * @param owner name of the task that runs the steps, in kebab case
     */
    public StepGuard(String owner) {
        this.owner = owner;
    }

    /**
     * Runs a step.
     *
     * @param name name of the step, in kebab case
     * @param subject what the step is about, for the log
     * @param step the step to run
     * @return whether the step completed without an exception
     */
    public boolean run(String name, Object subject, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException e) {
            failures.increment();
            LOG.warn(
                    "step-failed",
                    Field.of("task", owner),
                    Field.of("step", name),
                    Field.of("subject", subject),
                    Field.of("reason", StackSummary.of(e)));
            return false;
        }
    }

    /** Returns the number of steps that threw an exception. */
    public long failures() {
        return failures.sum();
    }
}
