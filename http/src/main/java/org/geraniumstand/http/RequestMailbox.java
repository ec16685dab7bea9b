package org.geraniumstand.http;

import org.geraniumstand.decisions.Action;

/** Receives actions for the task that owns a request's connections. */
@FunctionalInterface
public interface RequestMailbox {
    /**
     * Posts an action, which the task executes on its own thread.
     *
     * @param action the action to execute
     */
    void post(Action action);

    /** Returns the caller's request id, or an empty string if it is unknown. */
    default String callerRequestId() {
        return "";
    }
}
