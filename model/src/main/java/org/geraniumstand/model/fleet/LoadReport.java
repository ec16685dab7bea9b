package org.geraniumstand.model.fleet;

/**
 * Reports a backend server's load as the server states it; the report lags behind the actual load.
 *
 * @param running requests that it is processing
 * @param waiting requests in its queue
 * @param warm whether the server states that it can handle full load
 * @param cachedTokens tokens in its prefix cache
 * @param ageMillis age of the report when it was read, in milliseconds
 */
public record LoadReport(int running, int waiting, boolean warm, long cachedTokens, long ageMillis) {}
