package org.geraniumstand.model.relay;

import java.util.Optional;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;

/**
 * What a request says to the backend server beside what its caller wrote.
 *
 * @param server the server that is meant; another one must not run the request
 * @param team the team of the caller, if it showed a key
 * @param waitMillis how long the server may work, in milliseconds
 * @param lastEvent event of a stream after which to go on, if any
 * @param urgency rank among the server's requests from 0, the first, to 9
 */
public record ServerCall(
        ServerId server, Optional<TeamId> team, long waitMillis, Optional<String> lastEvent, int urgency) {}
