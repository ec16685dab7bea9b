package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServerId;

/**
 * A backend server that a process could no longer reach.
 *
 * @param server the server
 * @param ageMillis milliseconds since the process noticed
 */
public record ServerLoss(ServerId server, long ageMillis) {}
