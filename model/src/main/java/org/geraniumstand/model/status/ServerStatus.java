package org.geraniumstand.model.status;

import org.geraniumstand.model.fleet.BackendServer;

/**
 * A backend server as one process sees it.
 *
 * @param server the backend server
 * @param state {@code taking}, {@code leaving}, {@code reclaimed} or {@code data-centre-out}
 * @param warmth {@code warm}, {@code cold} or {@code unknown}
 * @param budget requests that this process may have in flight there, or -1 where that is not known
 * @param inFlight requests that this process has in flight there
 */
public record ServerStatus(BackendServer server, String state, String warmth, int budget, int inFlight) {}
