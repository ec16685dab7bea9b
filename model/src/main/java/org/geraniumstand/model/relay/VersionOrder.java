package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * An operator's order to move a service's calls to a version.
 *
 * @param service the service
 * @param target the version
 * @param durationMillis time that the move may take, in milliseconds
 */
public record VersionOrder(ServiceId service, VersionId target, long durationMillis) {}
