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
}
