package org.geraniumstand.model.relay;

/**
 * Bounds of what callers may send.
 *
 * @param maxHeaderBytes largest head of a request, in bytes
 * @param maxBodyBytes largest body of a request, in bytes
 * @param headerTimeoutMillis time in which a head must have arrived, in milliseconds
 * @param idleTimeoutMillis time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {}
