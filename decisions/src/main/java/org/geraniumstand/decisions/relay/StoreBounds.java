package org.geraniumstand.decisions.relay;

/**
 * The times within which processes must act on what the store says, as the settings give them.
 *
 * @param drainMillis time for which a server that leaves may still get requests, in milliseconds
 * @param contactMillis time after a disruption of the store or of a process from which this holds again, in milliseconds
 */
public record StoreBounds(long drainMillis, long contactMillis) {}
