package org.geraniumstand.model.relay;

import java.util.Optional;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;

/**
 * Holds the information that the relay adds to a caller's request for the backend server.
 *
 * @param server the requested server; no other server may execute the request
 * @param team the team of the caller, if it sent an API key
 * @param timeoutMillis the server's time limit for the request, in milliseconds
 * @param lastEventId identifier of the stream event after which to resume, if any
 * @param urgency priority among the server's requests, from 0 (highest) to 9
 */
public record ServerCall(
        ServerId server, Optional<TeamId> team, long timeoutMillis, Optional<String> lastEventId, int urgency) {}
