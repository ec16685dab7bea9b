package org.geraniumstand.decisions.relay;

import java.util.OptionalDouble;

/**
 * Records the state that a process assumed a server to be in when it sent a call to it.
 *
 * @param coldMillis remaining time for which the server was assumed to be cold, in milliseconds; zero if warm
 * @param listedMillis time since the server's entry last changed, in milliseconds
 * @param processes number of processes that share the rate limits of the server
 * @param limitPerSecond requests per second that the server has named as its limit, if it has
 */
public record AssumedServerState(long coldMillis, long listedMillis, int processes, OptionalDouble limitPerSecond) {
    /** Returns whether the server was assumed to be cold. */
    public boolean cold() {
        return coldMillis > 0;
    }
}
