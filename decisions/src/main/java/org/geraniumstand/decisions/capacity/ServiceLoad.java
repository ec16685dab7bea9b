package org.geraniumstand.decisions.capacity;

import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.VersionId;

/**
 * Describes the load of a service version for which the planner provides servers.
 *
 * @param service the service, whose concurrency limits define the capacity of a server
 * @param version the version that the servers must run
 * @param inFlight average number of requests in flight, over all processes
 */
public record ServiceLoad(Service service, VersionId version, double inFlight) {}
