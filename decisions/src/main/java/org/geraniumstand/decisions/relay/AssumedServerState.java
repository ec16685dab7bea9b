package org.geraniumstand.decisions.relay;

/**
 * What a process took a server for when it sent a call there.
 *
 * @param coldMillis how much longer the server is taken for cold, in milliseconds; zero for a warm one
 * @param listedMillis time since the server's entry last said something new, in milliseconds
 * @param processes processes that share what a cold server bears
 */
public record AssumedServerState(long coldMillis, long listedMillis, int processes) {
    /** Returns whether the server was taken for cold. */
    public boolean cold() {
        return coldMillis > 0;
    }
}
