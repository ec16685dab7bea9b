package org.geraniumstand.http;

import java.util.Optional;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.request.RequestInfo;

/** Receives messages from I/O tasks for the task that owns all decision state. */
public interface CoreInbox {
    /**
     * Submits an observation to the decision task.
     *
     * @param observation the event that an I/O task observed
     */
    void observe(Observation observation);

    /**
     * Submits a request; the actions that decisions take on it are posted to the mailbox.
     *
     * @param request the information about the request that decisions use
     * @param mailbox the task that owns the caller's connection
     */
    void submit(RequestInfo request, RequestMailbox mailbox);

    /** Returns the configuration in force, if any. */
    Optional<Configuration> configuration();
}
