package org.geraniumstand.model.status;

import org.geraniumstand.model.fleet.BackendServer;

/**
 * Reports the status of a backend server as observed by one process.
 *
 * @param server the backend server
 * @param state {@code taking}, {@code leaving}, {@code reclaimed} or {@code data-centre-out}
 * @param warmth {@code warm}, {@code cold} or {@code unknown}
 * @param budget maximum number of requests that this process may have in flight at the server, or -1 if unknown
 * @param inFlight number of this process's requests in flight at the server
 */
public record ServerStatus(BackendServer server, String state, String warmth, int budget, int inFlight) {}
