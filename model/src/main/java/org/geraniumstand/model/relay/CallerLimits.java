package org.geraniumstand.model.relay;

/**
 * Limits the size and duration of callers' requests.
 *
 * @param maxHeaderBytes maximum size of a request's headers, in bytes
 * @param maxBodyBytes maximum size of a request's body, in bytes
 * @param headerTimeoutMillis time within which all headers must be received, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {}
