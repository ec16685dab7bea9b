package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServerId;

/**
 * Reports a backend server that a process can no longer reach.
 *
 * @param server the unreachable server
 * @param ageMillis milliseconds since the process detected the loss
 * @param processes number of processes that could not connect to the server a moment ago; 0 reports a loss of contact at a time when
 *     the store could not be read, so that the server may have restarted unnoticed
 */
public record LostServer(ServerId server, long ageMillis, int processes) {
    /**
     * Creates the report of a loss of contact at a time when the store could not be read.
     *
     * @param server the unreachable server
     * @param ageMillis milliseconds since the process detected the loss
     */
    public LostServer(ServerId server, long ageMillis) {
        this(server, ageMillis, 0);
    }
}
