package org.geraniumstand.model.request;

/**
 * What an attempt at a backend server brought.
 *
 * @param end how it ended
 * @param firstByteMillis milliseconds until the first byte of the answer, or -1 without one
 * @param totalMillis milliseconds until its end
 * @param tokens tokens generated
 * @param cachedTokens prompt tokens that the engine reports as cached, or -1 without a report
 */
public record AttemptReport(AttemptEnd end, long firstByteMillis, long totalMillis, int tokens, int cachedTokens) {}
