package org.geraniumstand.model.relay;

/**
 * How many requests of a process in a window another process knows of.
 *
 * @param window number of the window
 * @param requests requests of all teams
 */
public record WindowTotal(long window, long requests) {}
