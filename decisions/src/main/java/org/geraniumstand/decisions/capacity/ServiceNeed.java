package org.geraniumstand.decisions.capacity;

import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.VersionId;

/**
 * What a service needs of the fleet.
 *
 * @param service the service and what its servers can bear
 * @param version the version that is planned for
 * @param inFlight requests in flight on average, over all processes
 */
public record ServiceNeed(Service service, VersionId version, double inFlight) {}
