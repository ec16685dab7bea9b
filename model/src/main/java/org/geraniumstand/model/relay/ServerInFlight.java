package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServerId;

/**
 * Counts the calls that one or more processes have in flight at a backend server.
 *
 * @param server the server
 * @param calls number of calls in flight
 * @param pendingTokens prompt tokens of those calls that the server has not processed yet, as far as the processes know
 */
public record ServerInFlight(ServerId server, int calls, long pendingTokens) {}
