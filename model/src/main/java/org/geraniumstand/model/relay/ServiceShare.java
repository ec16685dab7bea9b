package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServiceId;

/**
 * The part of a route's calls that goes to a service.
 *
 * @param service the service
 * @param weight its weight against the route's other services
 */
public record ServiceShare(ServiceId service, int weight) {}
