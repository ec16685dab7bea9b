package org.geraniumstand.model.relay;

/**
 * Tells how long work took on the host of a server a while ago.
 *
 * @param percent time that work took, in percent of the usual time
 * @param ageMillis milliseconds since the server stated it
 */
public record SlownessNews(int percent, long ageMillis) {}
