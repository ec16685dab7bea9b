package org.geraniumstand.peer.net;

/**
 * What the connections to peers carried.
 *
 * @param sentBytes bytes sent since the start, without the headers of TCP and IP
 * @param receivedBytes bytes received since the start, without those headers
 * @param connections connections that stand
 */
public record PeerTraffic(long sentBytes, long receivedBytes, int connections) {}
