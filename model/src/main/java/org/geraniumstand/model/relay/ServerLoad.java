package org.geraniumstand.model.relay;

/**
 * The load that a backend server told with an answer.
 *
 * @param running requests that ran
 * @param waiting requests that waited
 * @param slots requests that run at once
 */
public record ServerLoad(int running, int waiting, int slots) {}
