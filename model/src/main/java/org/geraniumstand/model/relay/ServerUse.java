package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServerId;

/**
 * What one or more processes have under way at a backend server.
 *
 * @param server the server
 * @param calls calls that have not ended
 */
public record ServerUse(ServerId server, int calls) {}
