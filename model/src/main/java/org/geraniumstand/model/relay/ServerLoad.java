package org.geraniumstand.model.relay;

/**
 * Reports the load that a backend server states in a response.
 *
 * @param running requests that were running
 * @param waiting requests in its queue
 * @param slots maximum number of concurrently running requests
 */
public record ServerLoad(int running, int waiting, int slots) {}
