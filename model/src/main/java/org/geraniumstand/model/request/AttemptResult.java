package org.geraniumstand.model.request;

/**
 * Reports the result of an attempt at a backend server.
 *
 * @param end result of the attempt
 * @param firstByteMillis time to the first byte of the response in milliseconds, or -1 if none was received
 * @param totalMillis duration of the attempt in milliseconds
 * @param tokens number of generated tokens
 * @param cachedTokens number of prompt tokens that the engine reports as cached, or -1 if it reports none
 */
public record AttemptResult(AttemptEnd end, long firstByteMillis, long totalMillis, int tokens, int cachedTokens) {}
