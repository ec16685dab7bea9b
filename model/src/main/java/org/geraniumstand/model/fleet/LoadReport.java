package org.geraniumstand.model.fleet;

/**
 * What a backend server says about its own load; it lags behind the truth.
 *
 * @param running requests that it works on
 * @param waiting requests in its queue
 * @param warm whether it says that it can bear full load
 * @param cachedTokens tokens held in its prefix cache
 * @param ageMillis how old the report was when it was read, in milliseconds
 */
public record LoadReport(int running, int waiting, boolean warm, long cachedTokens, long ageMillis) {}
