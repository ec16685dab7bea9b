package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServerId;

/**
 * Reports a backend server that a process can no longer reach.
 *
 * @param server the unreachable server
 * @param ageMillis milliseconds since the process detected the loss
 */
public record LostServer(ServerId server, long ageMillis) {}
