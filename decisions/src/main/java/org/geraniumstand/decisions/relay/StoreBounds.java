package org.geraniumstand.decisions.relay;

/**
 * Holds the time limits within which processes must act on changes in the store, taken from the settings.
 *
 * @param drainMillis time for which a draining server may still receive requests, in milliseconds
 * @param contactMillis time after a disruption of the store or of a process within which that limit applies again, in
 *     milliseconds
 */
public record StoreBounds(long drainMillis, long contactMillis) {}
