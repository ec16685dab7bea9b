package org.geraniumstand.model.relay;

/**
 * Acknowledges the number of a process's requests in a window that another process has received.
 *
 * @param window index of the window
 * @param requests number of requests of all teams
 */
public record WindowTotal(long window, long requests) {}
