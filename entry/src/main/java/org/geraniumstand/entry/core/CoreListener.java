package org.geraniumstand.entry.core;

import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.request.RequestInfo;

/** Follows what the core sees and decides; called on the core's thread, so it must neither block nor throw. */
public interface CoreListener {
    /**
     * Told of a request before it is decided on.
     *
     * @param request what decisions know about it
     * @param callerRequestId the caller's own name for it, or empty
     */
    void arrived(RequestInfo request, String callerRequestId);

    /**
     * Told of an observation before it is decided on.
     *
     * @param observation what was seen
     */
    void observed(Observation observation);

    /**
     * Told of an action before it is carried out.
     *
     * @param action what is to be done
     */
    void decided(Action action);
}
