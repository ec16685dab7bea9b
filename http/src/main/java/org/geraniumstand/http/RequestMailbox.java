package org.geraniumstand.http;

import org.geraniumstand.decisions.Action;

/** Takes messages for the task that owns a request's connections. */
@FunctionalInterface
public interface RequestMailbox {
    /**
     * Posts an action; it is carried out on the task's own thread.
     *
     * @param action the action
     */
    void post(Action action);

    /** Returns the caller's own name for the request, or an empty text where it is not known. */
    default String callerRequestId() {
        return "";
    }
}
