package org.geraniumstand.entry.core;

import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.request.RequestInfo;

/**
 * Receives the core's requests, observations and actions; called on the core's thread, so it must not block.
 */
public interface CoreListener {
    /**
     * Called with each request that arrives, before the controller handles it.
     *
     * @param request properties of the request that decisions use
     * @param callerRequestId request ID of the caller, or empty
     */
    void onRequestArrived(RequestInfo request, String callerRequestId);

    /**
     * Called with each observation, before the controller handles it.
     *
     * @param observation observation to be handled
     */
    void onObservation(Observation observation);

    /**
     * Called with each action before it is executed.
     *
     * @param action action to be executed
     */
    void onAction(Action action);
}
