package org.geraniumstand.decisions.relay;

/**
 * Records the state that a process assumed a server to be in when it sent a call to it.
 *
 * @param coldMillis remaining time for which the server was assumed to be cold, in milliseconds; zero if warm
 * @param listedMillis time since the server's entry last changed, in milliseconds
 * @param processes number of processes that share the rate limit of a cold server
 */
public record AssumedServerState(long coldMillis, long listedMillis, int processes) {
    /** Returns whether the server was assumed to be cold. */
    public boolean cold() {
        return coldMillis > 0;
    }
}
