package org.geraniumstand.peer.net;

/**
 * Reports the traffic of the connections to peers.
 *
 * @param sentBytes bytes sent since startup, excluding TCP and IP headers
 * @param receivedBytes bytes received since startup, excluding TCP and IP headers
 * @param connections number of established connections
 */
public record PeerTraffic(long sentBytes, long receivedBytes, int connections) {}
