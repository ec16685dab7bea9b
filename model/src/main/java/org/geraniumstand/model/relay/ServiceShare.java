package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServiceId;

/**
 * Assigns a weighted share of a route's calls to a service.
 *
 * @param service the service
 * @param weight its weight relative to the route's other services
 */
public record ServiceShare(ServiceId service, int weight) {}
