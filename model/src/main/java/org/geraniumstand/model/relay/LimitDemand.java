package org.geraniumstand.model.relay;

/**
 * Reports a server's limit and how many requests a process has that the server could serve.
 *
 * @param limit the limit
 * @param callsPerSecond rate at which requests to the server's service reach the process
 */
public record LimitDemand(ServerLimit limit, double callsPerSecond) {}
