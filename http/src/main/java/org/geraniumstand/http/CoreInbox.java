package org.geraniumstand.http;

import java.util.Optional;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.request.RequestFacts;

/** Where I/O tasks send messages to the task that owns all decision state. */
public interface CoreInbox {
    /**
     * Tells what was seen.
     *
     * @param observation what was seen
     */
    void tell(Observation observation);

    /**
     * Hands over a request; actions about it come to the mailbox.
     *
     * @param request what decisions need to know about it
     * @param mailbox the task that owns the caller's connection
     */
    void arrive(RequestFacts request, RequestMailbox mailbox);

    /** Returns the configuration in force, if any. */
    Optional<Configuration> configuration();
}
